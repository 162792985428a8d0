package qlconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// Kinds of pool.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Defaults of limits that neither the template nor the customer sets, and the
// ranges of valid values.
const (
	_defaultShare       = 1.0
	_defaultMaxInFlight = 64
	_defaultQueueLength = 64
	_defaultMaxWait     = 30 * time.Second

	_maxSlots = 4096
	_maxShare = 1e3
	_minShare = 1e-3
)

// Configuration is one validated revision of the configuration. It is
// immutable.
type Configuration struct {
	index              Index
	partData           map[string][]byte
	parsedParts        map[string]*Part
	customers          map[string]*Customer
	customersByKeyHash map[string]*Customer
	pools              map[string]*Pool
}

// Revision returns the configuration's revision.
func (c *Configuration) Revision() uint64 {
	return c.index.Revision
}

// Index returns the revision and the hashes of the parts.
func (c *Configuration) Index() Index {
	return c.index
}

// RawPart returns the content of the part with the hash, or nil if the
// configuration has no such part.
func (c *Configuration) RawPart(hash string) []byte {
	return c.partData[hash]
}

// Customer returns the customer with the name, or nil if there is none.
func (c *Configuration) Customer(id string) *Customer {
	return c.customers[id]
}

// CustomerIDs returns the names of all customers, sorted.
func (c *Configuration) CustomerIDs() []string {
	ids := make([]string, 0, len(c.customers))
	for id := range c.customers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// CustomerByKey returns the customer that the bearer key belongs to. The hash
// of the key is compared in constant time, and the key is not stored.
func (c *Configuration) CustomerByKey(key string) (*Customer, bool) {
	hash := HashKey(key)
	customer, ok := c.customersByKeyHash[hash]
	if !ok {
		return nil, false
	}
	for _, configured := range customer.keyHashes {
		if subtle.ConstantTimeCompare([]byte(configured), []byte(hash)) == 1 {
			return customer, true
		}
	}
	return nil, false
}

// Pool returns the pool with the name, or nil if there is none.
func (c *Configuration) Pool(name string) *Pool {
	return c.pools[name]
}

// PoolNames returns the names of all pools, sorted.
func (c *Configuration) PoolNames() []string {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HashKey returns the form in which the configuration stores a bearer key: its
// SHA-256 in hexadecimal.
func HashKey(key string) string {
	return HashPart([]byte(key))
}

// HashPart returns the SHA-256 of a part's content in hexadecimal.
func HashPart(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewIndex returns the index of a revision that consists of the parts.
func NewIndex(revision uint64, parts [][]byte) Index {
	hashes := make([]string, 0, len(parts))
	for _, part := range parts {
		hashes = append(hashes, HashPart(part))
	}
	return Index{
		Revision: revision,
		Parts:    hashes,
	}
}

// Builder builds configurations. It reuses the parts that the previous
// configuration already holds.
type Builder struct {
	// Previous is the configuration in force, or nil.
	Previous *Configuration
	// Names maps the hash of a part to the source, such as a file name, that
	// error messages name. Parts without an entry are named by their hash.
	Names map[string]string
}

// Missing returns the hashes of the parts in the index that Previous does not
// hold, which are those to fetch before Build.
func (b Builder) Missing(index Index) []string {
	var missing []string
	for _, hash := range index.Parts {
		if b.Previous == nil || b.Previous.partData[hash] == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Build validates all parts of the index and returns the configuration. Parts
// that Previous does not hold come from fetched, by hash. An error names the
// part, the position in it and the remedy.
func (b Builder) Build(index Index, fetched map[string][]byte) (*Configuration, error) {
	next := &Configuration{
		index:              index,
		partData:           make(map[string][]byte, len(index.Parts)),
		parsedParts:        make(map[string]*Part, len(index.Parts)),
		customers:          make(map[string]*Customer),
		customersByKeyHash: make(map[string]*Customer),
		pools:              make(map[string]*Pool),
	}
	for _, hash := range index.Parts {
		if err := b.loadPart(next, hash, fetched); err != nil {
			return nil, err
		}
	}
	templates := make(map[string]*TemplateText)
	for _, hash := range index.Parts {
		if err := b.addTemplatesAndPools(next, hash, templates); err != nil {
			return nil, err
		}
	}
	for _, hash := range index.Parts {
		if err := b.addCustomers(next, hash, templates); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// loadPart adds the part with the hash to next, from Previous or from fetched.
func (b Builder) loadPart(next *Configuration, hash string, fetched map[string][]byte) error {
	if b.Previous != nil && b.Previous.partData[hash] != nil {
		next.partData[hash] = b.Previous.partData[hash]
		next.parsedParts[hash] = b.Previous.parsedParts[hash]
		return nil
	}
	data, ok := fetched[hash]
	if !ok {
		return errors.NotFoundf("part %s of revision %d", hash, next.index.Revision)
	}
	if len(data) > PartMaxSize {
		return errors.Errorf("%s: %d bytes; split it into parts of at most %d bytes", b.sourceOf(hash), len(data), PartMaxSize)
	}
	if HashPart(data) != hash {
		return errors.Errorf("%s: content does not match its hash; publish it again", b.sourceOf(hash))
	}
	part := &Part{}
	if err := qljson.Decode(b.sourceOf(hash), data, part); err != nil {
		return errors.Trace(err)
	}
	next.partData[hash] = data
	next.parsedParts[hash] = part
	return nil
}

// sourceOf returns the name of a part in error messages.
func (b Builder) sourceOf(hash string) string {
	if name, ok := b.Names[hash]; ok {
		return name
	}
	return "part " + hash[:min(len(hash), 12)]
}

// errorAt returns an error positioned at the first occurrence of the quoted name
// in the part.
func (b Builder) errorAt(next *Configuration, hash, name, format string, args ...any) error {
	data := next.partData[hash]
	position := qljson.Position(b.sourceOf(hash), data, qljson.FindName(data, name))
	return errors.NewNotValid(nil, fmt.Sprintf("%s: %q: ", position, name)+fmt.Sprintf(format, args...))
}

// addTemplatesAndPools validates the templates and pools of a part and adds them
// to templates and next. Customers refer to them, so this precedes addCustomers.
func (b Builder) addTemplatesAndPools(next *Configuration, hash string, templates map[string]*TemplateText) error {
	part := next.parsedParts[hash]
	for _, name := range sortedKeys(part.Templates) {
		template := part.Templates[name]
		if _, duplicate := templates[name]; duplicate {
			return b.errorAt(next, hash, name, "template is defined twice; keep one")
		}
		if err := checkLimits(template.Limits); err != nil {
			return b.errorAt(next, hash, name, "%v", err)
		}
		templates[name] = &template
	}
	for _, name := range sortedKeys(part.Pools) {
		pool := part.Pools[name]
		if _, duplicate := next.pools[name]; duplicate {
			return b.errorAt(next, hash, name, "pool is defined twice; keep one")
		}
		if err := checkPool(pool); err != nil {
			return b.errorAt(next, hash, name, "%v", err)
		}
		next.pools[name] = &Pool{
			name: name,
			text: pool,
		}
	}
	return nil
}

func checkPool(pool PoolText) error {
	if pool.Kind != KindEngine && pool.Kind != KindService {
		return errors.Errorf("kind %q; write %q or %q", pool.Kind, KindEngine, KindService)
	}
	if pool.LargestCost <= 0 {
		return errors.Errorf("largest-cost %v; write one above 0", pool.LargestCost)
	}
	if pool.Timeout <= 0 {
		return errors.Errorf("timeout %v; write one above 0", pool.Timeout.Std())
	}
	seen := make(map[string]bool, len(pool.Upstreams))
	for _, upstream := range pool.Upstreams {
		if upstream.ID == "" || upstream.Address == "" || seen[upstream.ID] {
			return errors.Errorf("upstream %q needs an address and an id of its own", upstream.ID)
		}
		if upstream.Slots < 1 || upstream.Slots > _maxSlots {
			return errors.Errorf("upstream %q has %d slots; write 1 to %d", upstream.ID, upstream.Slots, _maxSlots)
		}
		seen[upstream.ID] = true
	}
	return nil
}

// addCustomers validates the customers of a part and adds them to next.
func (b Builder) addCustomers(next *Configuration, hash string, templates map[string]*TemplateText) error {
	part := next.parsedParts[hash]
	for _, id := range sortedKeys(part.Customers) {
		text := part.Customers[id]
		if next.customers[id] != nil {
			return b.errorAt(next, hash, id, "customer is defined twice; keep one")
		}
		customer, err := newCustomer(id, text, templates[text.Template])
		if err != nil {
			return b.errorAt(next, hash, id, "%v", err)
		}
		for _, pool := range customer.pools {
			if next.pools[pool] == nil {
				return b.errorAt(next, hash, id, "no pool %q; add it or correct the name", pool)
			}
		}
		for _, key := range customer.keyHashes {
			if next.customersByKeyHash[key] != nil {
				return b.errorAt(next, hash, id, "key hash belongs to %q too; give each customer its own key", next.customersByKeyHash[key].id)
			}
			next.customersByKeyHash[key] = customer
		}
		next.customers[id] = customer
	}
	return nil
}

// newCustomer returns a customer whose limits come from its own parameters, else
// from its template, else from the defaults.
func newCustomer(id string, text CustomerText, template *TemplateText) (*Customer, error) {
	if template == nil {
		return nil, errors.Errorf("no template %q; add it or correct the name", text.Template)
	}
	if len(text.KeyHashes) == 0 {
		return nil, errors.New("no key-hashes; add the hash of at least one key")
	}
	for _, hash := range text.KeyHashes {
		if len(hash) != 2*sha256.Size {
			return nil, errors.New("a key hash is not 64 hexadecimal digits; hash the key with SHA-256")
		}
	}
	if err := checkLimits(text.Parameters); err != nil {
		return nil, err
	}
	if err := checkParametersAllowed(text.Parameters, template); err != nil {
		return nil, err
	}
	given := text.Parameters
	base := template.Limits
	customer := &Customer{
		id:          id,
		share:       firstGiven(given.Share, base.Share, _defaultShare),
		maxInFlight: firstGiven(given.MaxInFlight, base.MaxInFlight, _defaultMaxInFlight),
		costRate:    firstGiven(given.CostRate, base.CostRate, 0),
		queueLength: firstGiven(given.QueueLength, base.QueueLength, _defaultQueueLength),
		maxWait:     firstGiven(given.MaxWait, base.MaxWait, qljson.Duration(_defaultMaxWait)).Std(),
		pools:       base.Pools,
		keyHashes:   text.KeyHashes,
	}
	if given.Pools != nil {
		customer.pools = given.Pools
	}
	return customer, nil
}

// firstGiven returns the first value that is set: given, base or fallback.
func firstGiven[T any](given, base *T, fallback T) T {
	if given != nil {
		return *given
	}
	if base != nil {
		return *base
	}
	return fallback
}

// checkParametersAllowed returns an error if a parameter is given that the
// template does not let customers override.
func checkParametersAllowed(given Limits, template *TemplateText) error {
	allowed := make(map[string]bool, len(template.Parameters))
	for _, name := range template.Parameters {
		allowed[name] = true
	}
	for _, parameter := range []struct {
		name  string
		given bool
	}{
		{name: "share", given: given.Share != nil},
		{name: "max-in-flight", given: given.MaxInFlight != nil},
		{name: "cost-rate", given: given.CostRate != nil},
		{name: "queue-length", given: given.QueueLength != nil},
		{name: "max-wait", given: given.MaxWait != nil},
		{name: "pools", given: given.Pools != nil},
	} {
		if parameter.given && !allowed[parameter.name] {
			return errors.Errorf("its template does not list parameter %q; list it there or remove it here", parameter.name)
		}
	}
	return nil
}

func checkLimits(limits Limits) error {
	if share := limits.Share; share != nil && (*share < _minShare || *share > _maxShare) {
		return errors.Errorf("share %v; write %v to %v", *share, _minShare, _maxShare)
	}
	if n := limits.MaxInFlight; n != nil && *n < 1 {
		return errors.Errorf("max-in-flight %d; write 1 or more", *n)
	}
	if rate := limits.CostRate; rate != nil && *rate < 0 {
		return errors.Errorf("cost-rate %v; write 0 (no bound) or more", *rate)
	}
	if n := limits.QueueLength; n != nil && *n < 0 {
		return errors.Errorf("queue-length %d; write 0 or more", *n)
	}
	if wait := limits.MaxWait; wait != nil && *wait <= 0 {
		return errors.Errorf("max-wait %v; write one above 0", wait.Std())
	}
	return nil
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
