// Package qldispatch decides which waiting customer gets the next free slot
// of the upstreams that one router dispatches for.
//
// It is a state machine without I/O: demands, ends of requests, load reports
// and clock readings go in; grants come out through the Grant function. Time
// is a reading of a monotonic clock that the caller passes to each method.
//
// # How a slot finds its customer
//
// Entries state how many requests of each customer wait with them (a demand).
// Demands are absolute, so a lost or repeated one does no harm. Whenever a
// slot is free, the waiting customer with the least virtual time is granted
// it. A grant is a right to send one request soon; the entry that holds it
// reports the end and the true cost. The estimate is charged at the grant,
// and the difference when more is known, so a long stream cannot hide.
//
// Grants are numbered upwards. An entry says which number
// it saw last and which grants it still uses; a grant that it saw and does
// not use has ended, even when the message that said so was lost.
//
// # Usage
//
//	d := qldispatch.New(qldispatch.Config{Self: "r1", Grant: send})
//	d.SetPool(now, qldispatch.PoolConfig{Name: "m", LargestCost: 2000, Replicas: owned})
//	d.ApplyDemand(now, "r2", demand)
//	d.Done(now, "r2", number, cost, qldispatch.Answered)
package qldispatch

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
)

// Outcome says how a granted request ended.
type Outcome uint32

// The outcomes. Unreached and Declined mean that nothing was sent.
const (
	Answered Outcome = iota + 1
	Failed
	Declined
	Unreached
	// Abandoned is a request whose caller left; it says nothing about the
	// upstream.
	Abandoned
)

const (
	// MaxGrantAge bounds the age of a grant that an entry may still use.
	MaxGrantAge = time.Second
	// _grantTimeout frees a grant that its entry never said to have seen. It
	// exceeds qlentry's bound on the age of a grant that may still be sent,
	// and the time within which an entry says what it has seen.
	// It is for entries that say nothing more; else a grant is known to be
	// lost as soon as the entry's clock has passed its bound.
	_grantTimeout = 6 * time.Second
	// _entryTimeout frees all grants of an entry that has fallen silent.
	_entryTimeout = 15 * time.Second
	// _holdOff is how long a new owner waits for a load report before it
	// grants slots that an earlier owner's grants may still fill.
	_holdOff = time.Second
	// _peakWindow covers the lag of load reports.
	_peakWindow = 2 * time.Second
	// _adoptionStale is the age at which an entry's word on what it still
	// runs by an earlier owner's grants is void: it has ended.
	_adoptionStale = 3 * time.Second
	// _reportStale is the age at which a load report says nothing any more.
	_reportStale = 10 * time.Second
	// _shortestBackoff and _longestBackoff bound the ejection of an upstream that
	// refuses connections.
	_shortestBackoff = time.Second
	_longestBackoff  = 30 * time.Second
	// _forgetAccount drops an idle customer. It exceeds the time after which
	// a usage home forgets a silent dispatcher, so counters may start anew.
	_forgetAccount = 300 * time.Second
	// _allotmentLease is how long a home's allotment is valid, from the report
	// that it answers. _freeAfter is when this router may use its free share
	// again without asking: until then another may hold it on lease. It exceeds
	// the time for which a home lends the share out and the lease on it.
	_allotmentLease = 5 * time.Second
	_freeAfter      = 12 * time.Second
	// _rateBurst is the length of time over which a cost rate may be used up
	// at once.
	_rateBurst = 2 * time.Second
	_minCost   = 1.0
	// _sweepPeriod is how often idle customers are looked for.
	_sweepPeriod = 10 * time.Second
)

// Config configures a Dispatcher.
type Config struct {
	Self string
	// Limits returns what the configuration in force says of a customer;
	// ok is false for one that it does not name.
	Limits func(customer string) (limits qlfair.Limits, ok bool)
	// Rank returns this router's rank among the fleet's dispatchers for the
	// customer, by which free shares of limits go, and their number.
	Rank func(pool, customer string) (rank, total int)
	// Grant receives each grant.
	OnGrant func(Grant)
	// Resync asks an entry to state its demands in full, since what is known
	// of them here differs from what the entry has.
	RequestFullDemand func(entry string)
	// Monitor receives the invariants' checks.
	Monitor *qlinvariant.Monitor
}

// Grant is the right to send one request of a customer to an upstream.
type Grant struct {
	entry    string
	number   uint64
	customer string
	pool     string
	upstream string
	echo     time.Duration
	held     time.Duration
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

// NewGrant returns the grant, as after decoding.
func NewGrant(config GrantConfig) Grant {
	return Grant{
		entry:    config.Entry,
		number:   config.Number,
		customer: config.Customer,
		pool:     config.Pool,
		upstream: config.Upstream,
		echo:     config.Echo,
		held:     config.DemandAge,
	}
}

// Entry returns the router that may send.
func (g Grant) Entry() string {
	return g.entry
}

// Number returns the grant's number; it counts up.
func (g Grant) Number() uint64 {
	return g.number
}

// Customer returns whose request may be sent.
func (g Grant) Customer() string {
	return g.customer
}

// Pool returns the model or service.
func (g Grant) Pool() string {
	return g.pool
}

// Upstream returns where the request goes.
func (g Grant) Upstream() string {
	return g.upstream
}

// Echo returns the entry's own clock in the last demand that the dispatcher
// had from it, and Held the time from then to the grant. The grant's age is
// at most the entry's clock now less both.
func (g Grant) Echo() time.Duration {
	return g.echo
}

// DemandAge returns how long after the echoed demand the grant was made.
func (g Grant) DemandAge() time.Duration {
	return g.held
}

// PoolConfig configures one pool of the dispatcher.
type PoolConfig struct {
	Name        string
	LargestCost float64
	// Caches says that the upstreams keep prefixes of prompts.
	PrefixCaching bool
	Upstreams     []UpstreamConfig
}

// UpstreamConfig configures one upstream that the dispatcher owns.
type UpstreamConfig struct {
	ID      string
	Zone    string
	Slots   int
	Leaving bool
}

type pool struct {
	name        string
	largestCost float64
	caches      bool
	replicas    []*replica
	queue       qlfair.Queue[*account]
	accounts    map[string]*account
	parked      []*account
	// virtualTime is the fleet's; level is that of the last grant here.
	virtualTime float64
	level       float64
	waiting     int
	rotation    int
}

type replica struct {
	id      string
	hash    uint64
	pool    *pool
	slots   int
	leaving bool
	owned   bool
	inUse   int
	adopted map[string]adoption
	// readyAt ends the hold-off after a change of owner.
	readyAt time.Duration
	// foreign is what load reports show beyond our own grants.
	foreign     int
	reportedAt  time.Duration
	reported    bool
	peak        int
	peakBefore  int
	peakRotated time.Duration
	limit       int
	downUntil   time.Duration
	backoff     time.Duration
}

// adoption is what one entry says to run at an upstream by others' grants.
// Entries repeat it every second while it lasts.
type adoption struct {
	running int
	at      time.Duration
}

type account struct {
	service *qlfair.Account
	flow    *qlfair.Flow[*account]
	pool    *pool
	// hash stands for customer and pool in sums of demands.
	hash     uint32
	limits   qlfair.Limits
	wants    []want
	next     int
	waiting  int
	inFlight int
	parked   bool
	// confirmed is set once a home has answered.
	confirmed bool
	// free is this router's free share of the limit, as of a version.
	free          int
	freeVersion   uint64
	allotted      int
	allottedRate  float64
	allottedUntil time.Duration
	// freeFrom is when the free share may be used again.
	freeFrom time.Duration
	// limited is set while the customer's limit binds over the fleet.
	limited      bool
	bucket       float64
	bucketAt     time.Duration
	dirty        bool
	reportedAt   time.Duration
	reportedUsed float64
	activeAt     time.Duration
	// waitingFrom is when the customer was last seen not to wait.
	waitingFrom time.Duration
	// waitedAt is when the customer was last seen waiting.
	waitedAt  time.Duration
	hasWaited bool
}

// want is one entry's demand for one customer.
type want struct {
	entry    *entryState
	waiting  int
	estimate float64
	// unseen holds the numbers of grants that the entry's last demand did
	// not yet take into account.
	unseen []uint64
}

type entryState struct {
	id       string
	epoch    uint64
	sequence uint64
	clock    time.Duration
	clockAt  time.Duration
	heardAt  time.Duration
	grants   map[uint64]*grantRecord
	// accounts are those with a want of this entry.
	accounts map[*account]struct{}
}

type grantRecord struct {
	number   uint64
	account  *account
	replica  *replica
	charged  float64
	issuedAt time.Duration
	seen     bool
	// void is the time by the entry's clock after which the entry uses the
	// grant no more; 0 when the entry's clock is not known.
	void time.Duration
	// mark is the sequence of the last full demand that listed the grant.
	mark uint64
}
