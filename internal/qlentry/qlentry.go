package qlentry

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// Entry holds waiting and running requests. It is not safe for several
// goroutines.
type Entry struct {
	config Config
	pools  map[string]*poolView
	queues map[queueKey]*queue
	// active holds the queues in which something waits or that are asked for
	// elsewhere; the others only keep what was learned.
	active      map[queueKey]*queue
	sweepAt     time.Duration
	byRequest   map[uint64]*queue
	running     map[uint64]*running
	links       map[string]*link
	spillAt     time.Duration
	rebalanceAt time.Duration
	trimAt      time.Duration
	// ownSeen is the last grant handled of this process's own dispatcher.
	ownSeen uint64
}

// New returns an entry at which nothing waits.
func New(config Config) *Entry {
	return &Entry{
		config:    config,
		pools:     make(map[string]*poolView),
		queues:    make(map[queueKey]*queue),
		active:    make(map[queueKey]*queue),
		byRequest: make(map[uint64]*queue),
		running:   make(map[uint64]*running),
		links:     make(map[string]*link),
	}
}

// SetPool states who dispatches a pool: the owner of each upstream, and the
// routers among them. Requests placed with a router that no longer
// dispatches are placed anew.
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
	p.owners = owners
	p.own = false
	p.dispatchers = p.dispatchers[:0:0]
	for _, config := range dispatchers {
		if config.ID == e.config.Self {
			p.own = true
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
	e.replaceAll(now, p)
}

func (e *Entry) replaceAll(now time.Duration, p *poolView) {
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
				q.remote -= count
				delete(q.placed, id)
			}
		}
		e.place(now, p, q)
	}
	for _, l := range e.links {
		// Dispatchers that took over must hear soon what runs with them.
		l.refreshAt = min(l.refreshAt, now)
	}
}

// sortedQueues returns the active queues in an order that does not depend on
// that of the map.
func (e *Entry) sortedQueues() []*queue {
	queues := make([]*queue, 0, len(e.active))
	for key, q := range e.active {
		if len(q.waiting) == 0 && q.remote == 0 {
			delete(e.active, key)
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

// Submit takes a request. It is started or refused later, once.
func (e *Entry) Submit(now time.Duration, request Request) {
	p := e.pools[request.Pool]
	if p == nil || (len(p.dispatchers) == 0 && !p.own) {
		e.config.Refuse(request.ID, qlcode.NoUpstream, _minRetryAfter)
		return
	}
	q := e.queue(request)
	q.lastUseAt = now
	if request.Retry {
		if q.retries < 1 {
			e.config.Refuse(request.ID, qlcode.UpstreamUnreached, _minRetryAfter)
			return
		}
		q.retries--
	} else {
		q.retries = min(q.retries+_retryDeposit, _retryMax)
	}
	if len(q.waiting) >= request.MaxQueueLength && !request.Retry {
		e.config.Refuse(request.ID, qlcode.QueueFull, q.retryAfter(now))
		return
	}
	e.enqueue(now, q, request)
	e.place(now, p, q)
}

func (e *Entry) queue(request Request) *queue {
	key := queueKey{
		pool:     request.Pool,
		customer: request.Customer,
	}
	q := e.queues[key]
	if q == nil {
		q = &queue{
			key:     key,
			hash:    qlwire.HashItem(key.customer, key.pool),
			placed:  make(map[string]int),
			retries: _retryMax,
		}
		e.queues[key] = q
	}
	if q.samples == 0 && request.CostHint > 0 {
		q.estimate = request.CostHint
	}
	return q
}

// retryAfter tells a caller how long those in front have waited.
func (q *queue) retryAfter(now time.Duration) time.Duration {
	if len(q.waiting) == 0 {
		return _minRetryAfter
	}
	return min(max(now-q.waiting[0].since, _minRetryAfter), _maxRetryAfter)
}

func (e *Entry) enqueue(now time.Duration, q *queue, request Request) {
	w := waiting{
		id:       request.ID,
		deadline: request.Deadline,
		since:    now,
	}
	if request.Retry {
		q.waiting = append([]waiting{w}, q.waiting...)
	} else {
		q.waiting = append(q.waiting, w)
	}
	e.byRequest[request.ID] = q
	e.active[q.key] = q
}

// Cancel takes a waiting request out; one that was started is left alone.
// It reports whether the request was waiting.
func (e *Entry) Cancel(now time.Duration, id uint64) bool {
	q := e.byRequest[id]
	if q == nil {
		return false
	}
	for i := range q.waiting {
		if q.waiting[i].id == id {
			e.takeOut(now, q, i)
			return true
		}
	}
	return false
}

func (e *Entry) takeOut(now time.Duration, q *queue, i int) {
	delete(e.byRequest, q.waiting[i].id)
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	if p := e.pools[q.key.pool]; p != nil {
		e.place(now, p, q)
	}
}

// Grant takes a grant from a dispatcher. Grants are numbered: one that was
// overtaken or repeated is void, and its dispatcher learns that from the
// next demand.
func (e *Entry) Grant(now time.Duration, from string, epoch uint64, grant qldispatch.Grant) {
	local := from == e.config.Self
	if local {
		e.ownSeen = grant.Number()
	} else {
		l := e.link(from)
		if epoch < l.epoch || (epoch == l.epoch && grant.Number() <= l.seen) {
			return
		}
		l.epoch = epoch
		l.seen = grant.Number()
	}
	q := e.queues[queueKey{pool: grant.Pool(), customer: grant.Customer()}]
	sendBy := grant.Echo() + grant.DemandAge() + qldispatch.MaxGrantAge
	if local {
		sendBy = now + qldispatch.MaxGrantAge
	}
	if q != nil && !local {
		e.granted(q, from)
	}
	if q == nil || len(q.waiting) == 0 || now > sendBy {
		e.decline(from, grant.Number())
		if q != nil {
			e.replace(now, q)
		}
		return
	}
	e.start(now, q, from, epoch, grant, sendBy)
	e.replace(now, q)
}

func (e *Entry) replace(now time.Duration, q *queue) {
	if p := e.pools[q.key.pool]; p != nil {
		e.place(now, p, q)
	}
}

// granted notes that the dispatcher has counted one request off by itself.
func (e *Entry) granted(q *queue, from string) {
	if q.placed[from] == 0 {
		return
	}
	q.placed[from]--
	q.remote--
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
	e.config.Monitor.Check(e.running[w.id] == nil, qlinvariant.DecisionTwice, grant.Customer(), grant.Pool())
	e.config.Monitor.Check(now <= sendBy, qlinvariant.StaleGrantSent, grant.Customer(), grant.Pool())
	e.running[w.id] = &running{
		key:        q.key,
		dispatcher: from,
		epoch:      epoch,
		number:     grant.Number(),
		upstream:   grant.Upstream(),
		told:       q.estimate,
		startedAt:  now,
	}
	if from != e.config.Self {
		e.link(from).running++
	}
	e.config.Start(w.id, Assignment{
		upstream:   grant.Upstream(),
		dispatcher: from,
		sendBy:     sendBy,
	})
}

// Progress notes what a running request has cost so far.
func (e *Entry) Progress(id uint64, cost float64) {
	if r := e.running[id]; r != nil {
		r.cost = cost
	}
}

// Finish ends a running request with its true cost.
func (e *Entry) Finish(now time.Duration, id uint64, cost float64, outcome qldispatch.Outcome) {
	r := e.running[id]
	if r == nil {
		return
	}
	delete(e.running, id)
	if q := e.queues[r.key]; q != nil && outcome == qldispatch.Answered {
		q.learn(cost)
		q.lastUseAt = now
	}
	if r.dispatcher == e.config.Self {
		e.config.LocalDone(r.number, cost, outcome)
		return
	}
	l := e.link(r.dispatcher)
	l.running--
	if l.epoch == r.epoch {
		e.sendDone(r.dispatcher, r.number, cost, outcome)
	}
}

// learn averages costs over many requests. Few would not do: of requests
// that began together the cheap ones end first, so a fast average falls, more
// are started at too low a charge, and the customer swings from far ahead to
// far behind.
func (q *queue) learn(cost float64) {
	q.samples++
	weight := max(_learn, 1/float64(q.samples))
	q.estimate += weight * (cost - q.estimate)
}

// Waiting returns the number of requests that wait in a pool.
func (e *Entry) Waiting(pool string) int {
	count := 0
	for key, q := range e.queues {
		if key.pool == pool {
			count += len(q.waiting)
		}
	}
	return count
}

// Unfinished returns the number of requests that wait or run.
func (e *Entry) Unfinished() int {
	return len(e.byRequest) + len(e.running)
}

// Tick ends waits that took too long, refreshes demands and looks for better
// dispatchers.
func (e *Entry) Tick(now time.Duration) {
	e.expire(now)
	e.sweep(now)
	if now >= e.spillAt {
		e.spillAt = now + _spill
		e.spill(now)
	}
	if now >= e.rebalanceAt {
		e.rebalanceAt = now + _rebalance
		e.rebalance(now)
	}
	if now >= e.trimAt {
		e.trimAt = now + _trim
		e.trim()
	}
	e.refresh(now)
}

func (e *Entry) expire(now time.Duration) {
	for _, q := range e.sortedQueues() {
		for i := len(q.waiting) - 1; i >= 0; i-- {
			if w := q.waiting[i]; now >= w.deadline {
				e.takeOut(now, q, i)
				e.config.Refuse(w.id, qlcode.WaitTimeout, q.retryAfter(now))
			}
		}
	}
}

// sweep forgets what was learned about customers that are long idle.
func (e *Entry) sweep(now time.Duration) {
	if now < e.sweepAt {
		return
	}
	e.sweepAt = now + _sweepPeriod
	for key, q := range e.queues {
		if len(q.waiting) == 0 && q.remote == 0 && now-q.lastUseAt > _forgetQueue {
			delete(e.queues, key)
		}
	}
}

// _forgetQueue drops what was learned about a customer that is long idle.
const _forgetQueue = 10 * time.Minute

// _sweepPeriod is how often idle customers are looked for.
const _sweepPeriod = 10 * time.Second

// QueueState is one queue's state for dumps.
type QueueState struct {
	Pool     string         `json:"pool"`
	Customer string         `json:"customer"`
	Waiting  int            `json:"waiting"`
	Placed   map[string]int `json:"placed"`
	Estimate float64        `json:"estimate"`
}

// State returns the queues for dumps, sorted, and the number of running
// requests.
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
	return states, len(e.running)
}
