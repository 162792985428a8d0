package qlentry

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// Entry holds one router's waiting and active requests. An active request has
// been granted a slot and has not ended. An Entry is not safe for concurrent use.
type Entry struct {
	config Config
	pools  map[string]*poolView
	queues map[queueKey]*queue
	// activeQueues holds the queues with waiting requests or with demands at
	// remote dispatchers. The other queues only keep cost estimates and retry
	// budgets.
	activeQueues   map[queueKey]*queue
	sweepAt        time.Duration
	byRequest      map[uint64]*queue
	activeRequests map[uint64]*activeRequest
	links          map[string]*dispatcherLink
	overflowAt     time.Duration
	rebalanceAt    time.Duration
	withdrawAt     time.Duration
	// lastLocalGrant is the number of the local dispatcher's last handled grant.
	lastLocalGrant uint64
}

// New returns an entry without requests or pools.
func New(config Config) *Entry {
	return &Entry{
		config:         config,
		pools:          make(map[string]*poolView),
		queues:         make(map[queueKey]*queue),
		activeQueues:   make(map[queueKey]*queue),
		byRequest:      make(map[uint64]*queue),
		activeRequests: make(map[uint64]*activeRequest),
		links:          make(map[string]*dispatcherLink),
	}
}

// SetPool sets a pool's dispatchers and the owner of each of its upstreams, by
// upstream ID. Demands at a router that is no longer a dispatcher of the pool
// move to others.
func (e *Entry) SetPool(now time.Duration, name string, owners map[string]string, dispatchers []DispatcherConfig) {
	p := e.pools[name]
	if p == nil {
		p = &poolView{
			name: name,
		}
		e.pools[name] = p
	}
	known := make(map[string]*dispatcherView, len(p.dispatchers))
	for _, d := range p.dispatchers {
		known[d.id] = d
	}
	p.upstreamOwners = owners
	p.dispatchedLocally = false
	p.dispatchers = p.dispatchers[:0:0]
	for _, config := range dispatchers {
		if config.ID == e.config.Self {
			p.dispatchedLocally = true
			continue
		}
		d := known[config.ID]
		if d == nil {
			d = &dispatcherView{
				id: config.ID,
			}
		}
		d.zone = config.Zone
		p.dispatchers = append(p.dispatchers, d)
	}
	e.reassignRequests(now, p)
}

// reassignRequests drops the demands at routers that no longer dispatch for the
// pool and asks for the requests at other dispatchers.
func (e *Entry) reassignRequests(now time.Duration, p *poolView) {
	current := make(map[string]bool, len(p.dispatchers))
	for _, d := range p.dispatchers {
		current[d.id] = true
	}
	for _, q := range e.sortedQueues() {
		if q.key.pool != p.name {
			continue
		}
		for id, count := range q.placed {
			if !current[id] {
				q.placedTotal -= count
				delete(q.placed, id)
			}
		}
		e.updateDemand(now, p, q)
	}
	for _, l := range e.links {
		// New owners of upstreams must learn soon which active requests use
		// their slots.
		l.refreshAt = min(l.refreshAt, now)
	}
}

// sortedQueues returns the active queues sorted by pool and customer, so that
// runs are repeatable. It removes queues that are no longer active.
func (e *Entry) sortedQueues() []*queue {
	queues := make([]*queue, 0, len(e.activeQueues))
	for key, q := range e.activeQueues {
		if len(q.waiting) == 0 && q.placedTotal == 0 {
			delete(e.activeQueues, key)
			continue
		}
		queues = append(queues, q)
	}
	sort.Slice(queues, func(i, j int) bool {
		a, b := queues[i].key, queues[j].key
		if a.pool != b.pool {
			return a.pool < b.pool
		}
		return a.customer < b.customer
	})
	return queues
}

// Submit queues a request. Unless it is cancelled, it is started or refused
// exactly once, possibly before Submit returns.
func (e *Entry) Submit(now time.Duration, request Request) {
	p := e.pools[request.Pool]
	if p == nil || (len(p.dispatchers) == 0 && !p.dispatchedLocally) {
		e.config.Refuse(request.ID, qlcode.NoUpstream, _minRetryAfter)
		return
	}
	q := e.queueFor(request)
	q.lastUseAt = now
	if request.Retry {
		if q.retryBudget < 1 {
			e.config.Refuse(request.ID, qlcode.UpstreamUnreached, _minRetryAfter)
			return
		}
		q.retryBudget--
	} else {
		q.retryBudget = min(q.retryBudget+_retryBudgetPerRequest, _maxRetryBudget)
	}
	if len(q.waiting) >= request.MaxQueueLength && !request.Retry {
		e.config.Refuse(request.ID, qlcode.QueueFull, q.retryAfter(now))
		return
	}
	e.enqueue(now, q, request)
	e.updateDemand(now, p, q)
}

// queueFor returns the queue for a request's customer and pool. Until the cost of
// a request is known, the queue's estimate is the latest request's CostHint.
func (e *Entry) queueFor(request Request) *queue {
	key := queueKey{
		pool:     request.Pool,
		customer: request.Customer,
	}
	q := e.queues[key]
	if q == nil {
		q = &queue{
			key:         key,
			hash:        qlwire.HashItem(key.customer, key.pool),
			placed:      make(map[string]int),
			retryBudget: _maxRetryBudget,
		}
		e.queues[key] = q
	}
	if q.costSamples == 0 && request.CostHint > 0 {
		q.estimate = request.CostHint
	}
	return q
}

// retryAfter returns the delay after which a refused caller is asked to try again:
// how long the queue's first request has waited, within the bounds.
func (q *queue) retryAfter(now time.Duration) time.Duration {
	if len(q.waiting) == 0 {
		return _minRetryAfter
	}
	return min(max(now-q.waiting[0].enqueuedAt, _minRetryAfter), _maxRetryAfter)
}

func (e *Entry) enqueue(now time.Duration, q *queue, request Request) {
	w := waitingRequest{
		id:         request.ID,
		deadline:   request.Deadline,
		enqueuedAt: now,
	}
	if request.Retry {
		q.waiting = append([]waitingRequest{w}, q.waiting...)
	} else {
		q.waiting = append(q.waiting, w)
	}
	e.byRequest[request.ID] = q
	e.activeQueues[q.key] = q
}

// Cancel removes a waiting request and reports whether it was waiting. It does
// nothing to a started request.
func (e *Entry) Cancel(now time.Duration, id uint64) bool {
	q := e.byRequest[id]
	if q == nil {
		return false
	}
	for i := range q.waiting {
		if q.waiting[i].id == id {
			e.removeWaiting(now, q, i)
			return true
		}
	}
	return false
}

func (e *Entry) removeWaiting(now time.Duration, q *queue, i int) {
	delete(e.byRequest, q.waiting[i].id)
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	if p := e.pools[q.key.pool]; p != nil {
		e.updateDemand(now, p, q)
	}
}

// Grant applies a dispatcher's grant: it starts the first request of the customer's
// queue, or declines the grant when none waits or the grant is too old. Grants
// are numbered upwards. One that arrives after a later one, or twice, is ignored;
// its dispatcher detects an ignored grant from a later demand, which names the last
// grant received and covers the grants in use.
func (e *Entry) Grant(now time.Duration, from string, epoch uint64, grant qldispatch.Grant) {
	local := from == e.config.Self
	if local {
		e.lastLocalGrant = grant.Number()
	} else {
		l := e.linkTo(from)
		if epoch < l.epoch || (epoch == l.epoch && grant.Number() <= l.lastGrantSeen) {
			return
		}
		l.epoch = epoch
		l.lastGrantSeen = grant.Number()
	}
	q := e.queues[queueKey{pool: grant.Pool(), customer: grant.Customer()}]
	sendBy := grant.Echo() + grant.DemandAge() + qldispatch.MaxGrantAge
	if local {
		sendBy = now + qldispatch.MaxGrantAge
	}
	if q != nil && !local {
		e.deductGranted(q, from)
	}
	if q == nil || len(q.waiting) == 0 || now > sendBy {
		e.decline(from, grant.Number())
		if q != nil {
			e.updateDemandOf(now, q)
		}
		return
	}
	e.start(now, q, from, epoch, grant, sendBy)
	e.updateDemandOf(now, q)
}

// updateDemandOf calls updateDemand if the queue's pool is known.
func (e *Entry) updateDemandOf(now time.Duration, q *queue) {
	if p := e.pools[q.key.pool]; p != nil {
		e.updateDemand(now, p, q)
	}
}

// deductGranted reduces the demand recorded for a dispatcher by the request that
// it has just granted. The dispatcher has done so itself, so no message is sent.
func (e *Entry) deductGranted(q *queue, from string) {
	if q.placed[from] == 0 {
		return
	}
	q.placed[from]--
	q.placedTotal--
	if q.placed[from] == 0 {
		delete(q.placed, from)
	}
}

func (e *Entry) decline(from string, number uint64) {
	e.sendDone(from, number, 0, qldispatch.Declined)
}

func (e *Entry) start(now time.Duration, q *queue, from string, epoch uint64, grant qldispatch.Grant, sendBy time.Duration) {
	w := q.waiting[0]
	q.waiting = q.waiting[1:]
	delete(e.byRequest, w.id)
	e.config.Monitor.Check(e.activeRequests[w.id] == nil, qlinvariant.DecisionTwice, grant.Customer(), grant.Pool())
	e.config.Monitor.Check(now <= sendBy, qlinvariant.StaleGrantSent, grant.Customer(), grant.Pool())
	e.activeRequests[w.id] = &activeRequest{
		key:          q.key,
		dispatcher:   from,
		epoch:        epoch,
		number:       grant.Number(),
		upstream:     grant.Upstream(),
		reportedCost: q.estimate,
		startedAt:    now,
	}
	if from != e.config.Self {
		e.linkTo(from).activeCount++
	}
	e.config.Start(w.id, Assignment{
		upstream:   grant.Upstream(),
		dispatcher: from,
		sendBy:     sendBy,
	})
}

// Progress records an active request's cost so far.
func (e *Entry) Progress(id uint64, cost float64) {
	if r := e.activeRequests[id]; r != nil {
		r.cost = cost
	}
}

// Finish ends an active request and reports its end and its cost to the dispatcher
// that granted it, unless that has restarted since. The cost of an answered request
// is added to the customer's estimate.
func (e *Entry) Finish(now time.Duration, id uint64, cost float64, outcome qldispatch.Outcome) {
	r := e.activeRequests[id]
	if r == nil {
		return
	}
	delete(e.activeRequests, id)
	if q := e.queues[r.key]; q != nil && outcome == qldispatch.Answered {
		q.recordCost(cost)
		q.lastUseAt = now
	}
	if r.dispatcher == e.config.Self {
		e.config.LocalDone(r.number, cost, outcome)
		return
	}
	l := e.linkTo(r.dispatcher)
	l.activeCount--
	if l.epoch == r.epoch {
		e.sendDone(r.dispatcher, r.number, cost, outcome)
	}
}

// recordCost adds a request's cost to the moving average that estimates the
// customer's next costs. The average is over many requests: among requests that
// started together the cheap ones end first, so a fast average would fall, too
// many requests would be started at too low a charge, and the customer's service
// would swing from far above to far below its share.
func (q *queue) recordCost(cost float64) {
	q.costSamples++
	weight := max(_minSampleWeight, 1/float64(q.costSamples))
	q.estimate += weight * (cost - q.estimate)
}

// Waiting returns the number of requests that wait for a pool.
func (e *Entry) Waiting(pool string) int {
	count := 0
	for key, q := range e.queues {
		if key.pool == pool {
			count += len(q.waiting)
		}
	}
	return count
}

// Unfinished returns the number of waiting and active requests.
func (e *Entry) Unfinished() int {
	return len(e.byRequest) + len(e.activeRequests)
}

// Tick does the periodic work: it refuses requests whose deadline has passed,
// sends refreshed demands, and moves requests to better dispatchers.
func (e *Entry) Tick(now time.Duration) {
	e.expireWaits(now)
	e.dropIdleQueues(now)
	if now >= e.overflowAt {
		e.overflowAt = now + _overflowPeriod
		e.overflow(now)
	}
	if now >= e.rebalanceAt {
		e.rebalanceAt = now + _rebalancePeriod
		e.rebalance(now)
	}
	if now >= e.withdrawAt {
		e.withdrawAt = now + _withdrawPeriod
		e.withdrawSurplus()
	}
	e.refresh(now)
}

func (e *Entry) expireWaits(now time.Duration) {
	for _, q := range e.sortedQueues() {
		for i := len(q.waiting) - 1; i >= 0; i-- {
			if w := q.waiting[i]; now >= w.deadline {
				e.removeWaiting(now, q, i)
				e.config.Refuse(w.id, qlcode.WaitTimeout, q.retryAfter(now))
			}
		}
	}
}

// dropIdleQueues deletes the queues of customers that have been idle for longer
// than _idleQueueRetention.
func (e *Entry) dropIdleQueues(now time.Duration) {
	if now < e.sweepAt {
		return
	}
	e.sweepAt = now + _sweepPeriod
	for key, q := range e.queues {
		if len(q.waiting) == 0 && q.placedTotal == 0 && now-q.lastUseAt > _idleQueueRetention {
			delete(e.queues, key)
		}
	}
}

// _idleQueueRetention is how long an idle customer's cost estimate and retry
// budget are kept.
const _idleQueueRetention = 10 * time.Minute

// _sweepPeriod is how often dropIdleQueues looks for idle queues.
const _sweepPeriod = 10 * time.Second

// QueueState is one queue's state for debug dumps. Placed holds the requests
// asked for at each remote dispatcher, Estimate the expected cost of a request.
type QueueState struct {
	Pool     string         `json:"pool"`
	Customer string         `json:"customer"`
	Waiting  int            `json:"waiting"`
	Placed   map[string]int `json:"placed"`
	Estimate float64        `json:"estimate"`
}

// State returns the active queues, sorted by pool and customer, and the number
// of active requests, for debug dumps.
func (e *Entry) State() ([]QueueState, int) {
	states := make([]QueueState, 0, len(e.queues))
	for _, q := range e.sortedQueues() {
		placed := make(map[string]int, len(q.placed))
		for id, count := range q.placed {
			placed[id] = count
		}
		states = append(states, QueueState{
			Pool:     q.key.pool,
			Customer: q.key.customer,
			Waiting:  len(q.waiting),
			Placed:   placed,
			Estimate: q.estimate,
		})
	}
	return states, len(e.activeRequests)
}
