// Package qldispatch decides which waiting customer gets the next free slot of
// the upstreams that one router dispatches for. A slot is an upstream's
// capacity to serve one request at a time.
//
// The package is a state machine without I/O. The caller passes in demands,
// ends of requests, load reports and clock readings, and receives grants
// through Config.OnGrant. Time is a reading of a monotonic clock that the
// caller passes to each method.
//
// # How slots are granted
//
// An entry is a router that accepts requests from callers. It reports how many
// requests of each customer wait at it; such a report is a demand. Demands hold
// absolute numbers, so a lost or repeated demand does no harm. Whenever a slot
// is free, the dispatcher grants it to the waiting customer with the lowest
// virtual time (see qlfair). A grant permits the entry to send one request
// within MaxGrantAge; the entry reports the request's end and its actual cost.
// The estimated cost is charged with the grant, and the charge is corrected as
// soon as more is known, so a long stream cannot use service without being
// charged for it.
//
// Grants are numbered in increasing order. An entry reports the highest grant
// number that it received and the grants that it still uses. A grant that was
// received and is no longer in use has ended, even if the message that reported
// its end was lost.
//
// # Usage
//
//	d := qldispatch.New(qldispatch.Config{
//		Self:              "r1",
//		Limits:            limits,
//		Rank:              rank,
//		OnGrant:           send,
//		RequestFullDemand: requestFullDemand,
//		Monitor:           monitor,
//	})
//	d.SetPool(now, qldispatch.PoolConfig{Name: "m", LargestCost: 2000, Upstreams: owned})
//	d.ApplyDemand(now, "r2", demand)
//	d.Done(now, "r2", number, cost, qldispatch.Answered)
package qldispatch

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
)

// Outcome is how a granted request ended.
type Outcome uint32

// The outcomes. Declined and Unreached mean that the upstream received nothing.
const (
	Answered Outcome = iota + 1
	Failed
	Declined
	Unreached
	// Abandoned is a request whose caller disconnected. It says nothing about
	// the upstream's health.
	Abandoned
)

const (
	// MaxGrantAge is the age up to which an entry may use a grant.
	MaxGrantAge = time.Second
	// _grantTimeout is the age at which the dispatcher reclaims a grant whose
	// receipt its entry has not confirmed. It exceeds MaxGrantAge and the time
	// within which an entry confirms the grants that it received. It matters
	// only for entries that send no more demands: any other entry's lost grant
	// is detected as soon as a demand carries a clock reading later than the
	// grant's expiry.
	_grantTimeout = 6 * time.Second
	// _entryTimeout is the time without a demand after which an entry that holds
	// grants is dropped, and its grants are ended.
	_entryTimeout = 15 * time.Second
	// _ownerChangeHoldOff is how long a new owner of an upstream waits for a
	// load report before it grants slots. Requests granted by the earlier owner
	// may still occupy them.
	_ownerChangeHoldOff = time.Second
	// _peakWindow is the length of the windows over which the peak of the
	// dispatcher's own requests is recorded. It covers the delay of load
	// reports.
	_peakWindow = 2 * time.Second
	// _adoptionExpiry is the age at which an entry's report of requests that it
	// still runs by an earlier owner's grants expires: the requests have ended.
	_adoptionExpiry = 3 * time.Second
	// _loadReportExpiry is the age at which a load report is no longer used.
	_loadReportExpiry = 10 * time.Second
	// _minBackoff and _maxBackoff bound the time for which an upstream that
	// refuses connections is ejected.
	_minBackoff = time.Second
	_maxBackoff = 30 * time.Second
	// _idleAccountExpiry is how long a customer must be idle before its account
	// is removed. It exceeds the time after which a usage home drops a silent
	// dispatcher, so the account's counters may start again from zero.
	_idleAccountExpiry = 300 * time.Second
	// _allotmentLease is how long an allotment of a usage home is valid,
	// counted from the report that it answers. _unleasedAfter is the time from
	// the same report after which this router may use its unleased allowance
	// again without asking: until then, another dispatcher may hold that
	// allowance on lease. It exceeds the time for which a home leases the
	// allowance to others plus the duration of the last such lease.
	_allotmentLease = 5 * time.Second
	_unleasedAfter  = 12 * time.Second
	// _rateBurst is the time over which an unused cost rate accumulates; the
	// accumulated cost may be used at once.
	_rateBurst = 2 * time.Second
	// _minCost is the lowest charge for a grant, in cost units.
	_minCost = 1.0
	// _sweepPeriod is how often idle accounts are looked for.
	_sweepPeriod = 10 * time.Second
)

// Config configures a Dispatcher.
type Config struct {
	// Self is the ID of this router.
	Self string
	// Limits returns a customer's limits in the current configuration; ok is
	// false if the configuration does not name the customer.
	Limits func(customer string) (limits qlfair.Limits, ok bool)
	// Rank returns this router's rank among the pool's dispatchers for the
	// customer, and the number of these dispatchers. Both determine the
	// router's unleased allowance of the customer's limit. Without a lease, the
	// number also divides the customer's cost rate.
	Rank func(pool, customer string) (rank, total int)
	// OnGrant is called with each grant.
	OnGrant func(Grant)
	// RequestFullDemand asks an entry for a full demand. It is called when the
	// checksum of the entry's demands and grants differs from the one computed
	// here.
	RequestFullDemand func(entry string)
	// Monitor receives the results of invariant checks.
	Monitor *qlinvariant.Monitor
}

// Grant is the permission to send one request of a customer to an upstream.
type Grant struct {
	entry     string
	number    uint64
	customer  string
	pool      string
	upstream  string
	echo      time.Duration
	demandAge time.Duration
}

// GrantConfig holds a grant's fields for NewGrant.
type GrantConfig struct {
	Entry     string
	Number    uint64
	Customer  string
	Pool      string
	Upstream  string
	Echo      time.Duration
	DemandAge time.Duration
}

// NewGrant returns a grant with the given fields, such as one that was decoded.
func NewGrant(config GrantConfig) Grant {
	return Grant{
		entry:     config.Entry,
		number:    config.Number,
		customer:  config.Customer,
		pool:      config.Pool,
		upstream:  config.Upstream,
		echo:      config.Echo,
		demandAge: config.DemandAge,
	}
}

// Entry returns the ID of the router that may send the request.
func (g Grant) Entry() string {
	return g.entry
}

// Number returns the grant's number. Numbers increase with each grant.
func (g Grant) Number() uint64 {
	return g.number
}

// Customer returns the customer whose request may be sent.
func (g Grant) Customer() string {
	return g.customer
}

// Pool returns the model or service that the request is for.
func (g Grant) Pool() string {
	return g.pool
}

// Upstream returns the upstream to send the request to.
func (g Grant) Upstream() string {
	return g.upstream
}

// Echo returns the entry's own clock reading from the last demand that the
// dispatcher received from it. The grant's age is at most the entry's current
// clock reading minus Echo and DemandAge.
func (g Grant) Echo() time.Duration {
	return g.echo
}

// DemandAge returns how long before the grant the dispatcher received the
// demand whose clock reading Echo returns.
func (g Grant) DemandAge() time.Duration {
	return g.demandAge
}

// PoolConfig configures one pool of the dispatcher.
type PoolConfig struct {
	Name string
	// LargestCost is the upper bound on the cost of one request, in cost units.
	LargestCost float64
	// PrefixCaching states whether the upstreams cache prefixes of prompts.
	PrefixCaching bool
	Upstreams     []UpstreamConfig
}

// UpstreamConfig configures one upstream that the dispatcher owns.
type UpstreamConfig struct {
	ID    string
	Zone  string
	Slots int
	// Leaving is set when the upstream must receive no new grants.
	Leaving bool
}

// pool is the state of one pool at this dispatcher.
type pool struct {
	name          string
	largestCost   float64
	prefixCaching bool
	upstreams     []*upstream
	queue         qlfair.Queue[*account]
	accounts      map[string]*account
	// parked are the customers that wait but have reached a limit, so they are
	// not in the queue.
	parked []*account
	// virtualTime is the system's virtual time, over the whole fleet.
	// lastGrantVirtualTime is the virtual time of the customer of the last
	// grant here, before that grant was charged.
	virtualTime          float64
	lastGrantVirtualTime float64
	waiting              int
	// scanOffset rotates the upstream at which the search for a free slot
	// begins.
	scanOffset int
}

// upstream is an upstream that the dispatcher owns, or one that it owned earlier
// with requests granted here that still run.
type upstream struct {
	id      string
	hash    uint64
	pool    *pool
	slots   int
	leaving bool
	owned   bool
	inUse   int
	adopted map[string]adoption
	// holdOffUntil is the end of the hold-off after a change of owner.
	holdOffUntil time.Duration
	// foreign is the number of requests in the last load report beyond those
	// granted here.
	foreign        int
	loadReportedAt time.Duration
	hasLoadReport  bool
	// peak is the highest number of slots in use by grants from here in the
	// current window, and previousPeak that of the window before.
	peak          int
	previousPeak  int
	peakRotatedAt time.Duration
	// adaptiveLimit bounds the slots in use. A failure halves it, and each
	// answer raises it by one, up to slots.
	adaptiveLimit int
	ejectedUntil  time.Duration
	backoff       time.Duration
}

// adoption is one entry's report of the requests that it still runs at an
// upstream by grants of other dispatchers. Entries repeat it every second while
// such requests run.
type adoption struct {
	running int
	at      time.Duration
}

// account is one customer's demand, service and limits in one pool.
type account struct {
	service *qlfair.Account
	flow    *qlfair.Flow[*account]
	pool    *pool
	// hash identifies the customer and the pool in checksums of demands, and
	// determines the customer's order of upstreams (see choose).
	hash    uint32
	limits  qlfair.Limits
	demands []entryDemand
	// lastServed is the index in demands that was served last.
	lastServed int
	waiting    int
	inFlight   int
	parked     bool
	// homeAnswered is set once a usage home has answered a report of the
	// customer, and cleared when the customer's virtual time is reset.
	homeAnswered bool
	// unleased is this router's unleased allowance of the limit on requests in
	// flight, as computed at unleasedVersion of Dispatcher.allowanceVersion.
	unleased        int
	unleasedVersion uint64
	allotted        int
	allottedRate    float64
	allottedUntil   time.Duration
	// unleasedFrom is when the unleased allowance may be used again.
	unleasedFrom time.Duration
	// limited is set while the customer's demand over the fleet exceeds its
	// limit on requests in flight.
	limited bool
	// costBudget is the token bucket of the cost rate, in cost units. Requests
	// are granted while it is not negative.
	costBudget   float64
	costBudgetAt time.Duration
	// dirty is set when the customer changed after its last report.
	dirty        bool
	reportedAt   time.Duration
	reportedUsed float64
	activeAt     time.Duration
	// lastNotWaitingAt is when the customer was last observed not to wait.
	lastNotWaitingAt time.Duration
	// lastWaitingAt is when the customer was last observed to wait.
	lastWaitingAt time.Duration
	everWaited    bool
}

// entryDemand is one entry's demand for one customer.
type entryDemand struct {
	entry    *entryState
	waiting  int
	estimate float64
	// unseenGrants holds the numbers of the customer's grants that the entry had
	// not received when it sent its last demand, or that were issued since.
	unseenGrants []uint64
}

// entryState is one entry's demands and grants at this dispatcher.
type entryState struct {
	id              string
	epoch           uint64
	sequence        uint64
	clock           time.Duration
	clockReceivedAt time.Duration
	lastDemandAt    time.Duration
	grants          map[uint64]*grantRecord
	// accounts are those for which the entry has a demand.
	accounts map[*account]struct{}
}

// grantRecord is a grant that has not ended.
type grantRecord struct {
	number   uint64
	account  *account
	upstream *upstream
	charged  float64
	issuedAt time.Duration
	seen     bool
	// expiresAt is the time, by the entry's clock, after which the entry no
	// longer uses the grant.
	expiresAt time.Duration
	// lastListedIn is the sequence number of the last demand that listed the
	// grant as in use.
	lastListedIn uint64
}
