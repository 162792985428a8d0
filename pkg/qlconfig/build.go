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

// The kinds of pool.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Defaults of limits that neither template nor customer gives.
const (
	_defaultShare       = 1.0
	_defaultMaxInFlight = 64
	_defaultQueueLength = 64
	_defaultMaxWait     = 30 * time.Second
	_maxSlots           = 4096
	_maxShare           = 1e3
	_minShare           = 1e-3
)

// Configuration is one checked revision. It never changes.
type Configuration struct {
	index     Index
	parts     map[string][]byte
	parsed    map[string]*Part
	customers map[string]*Customer
	byKey     map[string]*Customer
	pools     map[string]*Pool
}

// Revision returns the configuration's revision.
func (c *Configuration) Revision() uint64 {
	return c.index.Revision
}

// Index returns the revision and the hashes of its parts.
func (c *Configuration) Index() Index {
	return c.index
}

// RawPart returns the text of the part with the hash, or nil.
func (c *Configuration) RawPart(hash string) []byte {
	return c.parts[hash]
}

// Customer returns a customer by name, or nil.
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

// CustomerByKey returns the customer whose key hashes include the hash of
// key. The hash is compared in constant time, and the key is not kept.
func (c *Configuration) CustomerByKey(key string) (*Customer, bool) {
	hash := HashKey(key)
	customer, ok := c.byKey[hash]
	if !ok {
		return nil, false
	}
	for _, known := range customer.keyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
			return customer, true
		}
	}
	return nil, false
}

// Pool returns a pool by name, or nil.
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

// HashKey returns the form in which the configuration holds a bearer key.
func HashKey(key string) string {
	return HashPart([]byte(key))
}

// HashPart returns the SHA-256 of a part in hexadecimal.
func HashPart(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewIndex returns the index of the parts under the revision.
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

// Builder makes configurations, reusing the parts of the one before.
type Builder struct {
	// Previous is the configuration in force, or nil.
	Previous *Configuration
	// Names gives the source of a part for error positions; nil uses hashes.
	Names map[string]string
}

// Missing returns the hashes of the index that Previous does not hold.
func (b Builder) Missing(index Index) []string {
	var missing []string
	for _, hash := range index.Parts {
		if b.Previous == nil || b.Previous.parts[hash] == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Build checks the configuration whole. It takes the parts that Previous
// lacks from fetched; an error names the part, the position and the remedy.
func (b Builder) Build(index Index, fetched map[string][]byte) (*Configuration, error) {
	next := &Configuration{
		index:     index,
		parts:     make(map[string][]byte, len(index.Parts)),
		parsed:    make(map[string]*Part, len(index.Parts)),
		customers: make(map[string]*Customer),
		byKey:     make(map[string]*Customer),
		pools:     make(map[string]*Pool),
	}
	for _, hash := range index.Parts {
		if err := b.load(next, hash, fetched); err != nil {
			return nil, err
		}
	}
	templates := make(map[string]*TemplateText)
	for _, hash := range index.Parts {
		if err := b.addShared(next, hash, templates); err != nil {
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

func (b Builder) load(next *Configuration, hash string, fetched map[string][]byte) error {
	if b.Previous != nil && b.Previous.parts[hash] != nil {
		next.parts[hash] = b.Previous.parts[hash]
		next.parsed[hash] = b.Previous.parsed[hash]
		return nil
	}
	data, ok := fetched[hash]
	if !ok {
		return errors.NotFoundf("part %s of revision %d", hash, next.index.Revision)
	}
	if len(data) > PartMaxSize {
		return errors.Errorf("%s: %d bytes; split it below %d", b.source(hash), len(data), PartMaxSize)
	}
	if HashPart(data) != hash {
		return errors.Errorf("%s: content does not match its hash; publish it again", b.source(hash))
	}
	part := &Part{}
	if err := qljson.Decode(b.source(hash), data, part); err != nil {
		return errors.Trace(err)
	}
	next.parts[hash] = data
	next.parsed[hash] = part
	return nil
}

func (b Builder) source(hash string) string {
	if name, ok := b.Names[hash]; ok {
		return name
	}
	return "part " + hash[:min(len(hash), 12)]
}

// fault returns an error at the first place where the part has the name.
func (b Builder) fault(next *Configuration, hash, name, format string, args ...any) error {
	data := next.parts[hash]
	position := qljson.Position(b.source(hash), data, qljson.FindName(data, name))
	return errors.NewNotValid(nil, fmt.Sprintf("%s: %q: ", position, name)+fmt.Sprintf(format, args...))
}

func (b Builder) addShared(next *Configuration, hash string, templates map[string]*TemplateText) error {
	part := next.parsed[hash]
	for _, name := range sortedKeys(part.Templates) {
		template := part.Templates[name]
		if _, twice := templates[name]; twice {
			return b.fault(next, hash, name, "template stands twice; keep one")
		}
		if err := checkLimits(template.Limits); err != nil {
			return b.fault(next, hash, name, "%v", err)
		}
		templates[name] = &template
	}
	for _, name := range sortedKeys(part.Pools) {
		pool := part.Pools[name]
		if _, twice := next.pools[name]; twice {
			return b.fault(next, hash, name, "pool stands twice; keep one")
		}
		if err := checkPool(pool); err != nil {
			return b.fault(next, hash, name, "%v", err)
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

func (b Builder) addCustomers(next *Configuration, hash string, templates map[string]*TemplateText) error {
	part := next.parsed[hash]
	for _, id := range sortedKeys(part.Customers) {
		text := part.Customers[id]
		if next.customers[id] != nil {
			return b.fault(next, hash, id, "customer stands twice; keep one")
		}
		customer, err := newCustomer(id, text, templates[text.Template])
		if err != nil {
			return b.fault(next, hash, id, "%v", err)
		}
		for _, pool := range customer.pools {
			if next.pools[pool] == nil {
				return b.fault(next, hash, id, "no pool %q; add it or correct the name", pool)
			}
		}
		for _, key := range customer.keyHashes {
			if next.byKey[key] != nil {
				return b.fault(next, hash, id, "key hash belongs to %q too; give each customer its own key", next.byKey[key].id)
			}
			next.byKey[key] = customer
		}
		next.customers[id] = customer
	}
	return nil
}

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
	if err := checkPermitted(text.Parameters, template); err != nil {
		return nil, err
	}
	given := text.Parameters
	base := template.Limits
	customer := &Customer{
		id:          id,
		share:       pick(given.Share, base.Share, _defaultShare),
		maxInFlight: pick(given.MaxInFlight, base.MaxInFlight, _defaultMaxInFlight),
		costRate:    pick(given.CostRate, base.CostRate, 0),
		queueLength: pick(given.QueueLength, base.QueueLength, _defaultQueueLength),
		maxWait:     pick(given.MaxWait, base.MaxWait, qljson.Duration(_defaultMaxWait)).Std(),
		pools:       base.Pools,
		keyHashes:   text.KeyHashes,
	}
	if given.Pools != nil {
		customer.pools = given.Pools
	}
	return customer, nil
}

func pick[T any](given, base *T, fallback T) T {
	if given != nil {
		return *given
	}
	if base != nil {
		return *base
	}
	return fallback
}

// checkPermitted refuses parameters that the template does not open.
func checkPermitted(given Limits, template *TemplateText) error {
	open := make(map[string]bool, len(template.Parameters))
	for _, name := range template.Parameters {
		open[name] = true
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
		if parameter.given && !open[parameter.name] {
			return errors.Errorf("its template does not list parameter %q; list it there or remove it here", parameter.name)
		}
	}
	return nil
}

func checkLimits(limits Limits) error {
	if s := limits.Share; s != nil && (*s < _minShare || *s > _maxShare) {
		return errors.Errorf("share %v; write %v to %v", *s, _minShare, _maxShare)
	}
	if n := limits.MaxInFlight; n != nil && *n < 1 {
		return errors.Errorf("max-in-flight %d; write 1 or more", *n)
	}
	if r := limits.CostRate; r != nil && *r < 0 {
		return errors.Errorf("cost-rate %v; write 0 (no bound) or more", *r)
	}
	if n := limits.QueueLength; n != nil && *n < 0 {
		return errors.Errorf("queue-length %d; write 0 or more", *n)
	}
	if d := limits.MaxWait; d != nil && *d <= 0 {
		return errors.Errorf("max-wait %v; write one above 0", d.Std())
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
