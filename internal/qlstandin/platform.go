package qlstandin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// PlatformSwitches are the platform's faults. They affect reads of values, not
// calls under /control.
type PlatformSwitches struct {
	// Down answers every read with status 503.
	Down bool `json:"down"`
	// Delay is the time by which every read is delayed.
	Delay qljson.Duration `json:"slow"`
	// Stale serves the values as they were when it was set.
	Stale bool `json:"stale"`
	// OldRevision serves the configuration index of this earlier revision, unless
	// it is 0 or was never published.
	OldRevision uint64 `json:"old"`
}

// Platform stands in for the configuration service and the VM list. Routers read
// values under /v1/values. Calls under /control stand for what operators and the
// platform itself do: they publish values and set faults.
type Platform struct {
	mu sync.Mutex
	// changed is closed and replaced when the values or the switches change.
	changed  chan struct{}
	switches PlatformSwitches
	values   platformValues
	// staleValues are the values at the time when switches.Stale was set.
	staleValues platformValues
	calls       int64
	// indexByRevision holds every index published, for OldRevision.
	indexByRevision map[uint64]qlconfig.Index
}

type platformValues struct {
	index qlconfig.Index
	parts map[string][]byte
	vms   qlplatform.VMs
}

// NewPlatform returns a platform with neither configuration nor VMs.
func NewPlatform() *Platform {
	return &Platform{
		changed:         make(chan struct{}),
		indexByRevision: make(map[uint64]qlconfig.Index),
		values: platformValues{
			parts: make(map[string][]byte),
		},
	}
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/values/index", p.serveIndex).Methods(http.MethodGet)
	routes.HandleFunc("/v1/values/vms", p.serveVMs).Methods(http.MethodGet)
	routes.HandleFunc("/v1/values/part/{hash}", p.servePart).Methods(http.MethodGet)
	routes.HandleFunc("/control/configuration", p.putConfiguration).Methods(http.MethodPut)
	routes.HandleFunc("/control/vms", p.putVMs).Methods(http.MethodPut)
	routes.HandleFunc("/control/switches", p.serveSwitches)
	routes.HandleFunc("/control/calls", p.serveCalls)
	return routes
}

// Publish publishes the parts as the configuration's next revision and returns
// the revision's number.
func (p *Platform) Publish(parts [][]byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values.index = qlconfig.NewIndex(p.values.index.Revision+1, parts)
	p.indexByRevision[p.values.index.Revision] = p.values.index
	kept := make(map[string][]byte, len(parts))
	for i, part := range parts {
		kept[p.values.index.Parts[i]] = part
	}
	// Routers that read the previous index may still fetch its parts, so some
	// are kept.
	for hash, part := range p.values.parts {
		if _, ok := kept[hash]; !ok && len(kept) < 2*len(parts)+16 {
			kept[hash] = part
		}
	}
	p.values.parts = kept
	p.notifyWatchers()
	return p.values.index.Revision
}

// SetVMs publishes a VM list.
func (p *Platform) SetVMs(vms []qlplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values.vms = qlplatform.VMs{
		Revision: p.values.vms.Revision + 1,
		VMs:      vms,
	}
	p.notifyWatchers()
}

// SetSwitches sets the platform's faults.
func (p *Platform) SetSwitches(switches PlatformSwitches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if switches.Stale && !p.switches.Stale {
		p.staleValues = p.values
	}
	p.switches = switches
	p.notifyWatchers()
}

// Calls returns the number of reads so far, including those refused while the
// platform was down.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notifyWatchers makes waiting reads check for a newer revision. The caller holds
// the lock.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleValues returns the values that routers see under the present faults, the
// faults, and a channel that is closed at the next change of either.
func (p *Platform) visibleValues() (platformValues, PlatformSwitches, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.Stale {
		return p.staleValues, p.switches, p.changed
	}
	values := p.values
	if index, ok := p.indexByRevision[p.switches.OldRevision]; ok {
		values.index = index
	}
	return values, p.switches, p.changed
}

// applyFaults counts a read and applies the platform's faults to it. It returns
// false if it has answered the read with an error.
func (p *Platform) applyFaults(w http.ResponseWriter) bool {
	p.mu.Lock()
	p.calls++
	switches := p.switches
	p.mu.Unlock()
	time.Sleep(time.Duration(switches.Delay))
	if switches.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) serveIndex(w http.ResponseWriter, request *http.Request) {
	p.serveValue(w, request, func(v platformValues) (uint64, any) { return v.index.Revision, v.index })
}

func (p *Platform) serveVMs(w http.ResponseWriter, request *http.Request) {
	p.serveValue(w, request, func(v platformValues) (uint64, any) { return v.vms.Revision, v.vms })
}

// serveValue answers a read of a value. With a query parameter wait, it answers
// when the value's revision exceeds that in the parameter after, or with status
// 304 if that does not happen within the wait.
func (p *Platform) serveValue(w http.ResponseWriter, request *http.Request, selectValue func(platformValues) (uint64, any)) {
	if !p.applyFaults(w) {
		return
	}
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		values, switches, changed := p.visibleValues()
		revision, value := selectValue(values)
		if switches.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if wait == 0 || revision > after {
			writeJSON(w, value)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (p *Platform) servePart(w http.ResponseWriter, request *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	values, _, _ := p.visibleValues()
	part, ok := values.parts[mux.Vars(request)["hash"]]
	if !ok {
		http.NotFound(w, request)
		return
	}
	_, _ = w.Write(part)
}

// putConfiguration publishes the parts in a body {"parts": ["text", ...]}. It does
// not validate them, so that tests can check that routers refuse bad ones.
func (p *Platform) putConfiguration(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Parts []string `json:"parts"`
	}
	if !decodeBody(w, request, &body) {
		return
	}
	parts := make([][]byte, 0, len(body.Parts))
	for _, part := range body.Parts {
		parts = append(parts, []byte(part))
	}
	writeJSON(w, struct {
		Revision uint64 `json:"revision"`
	}{
		Revision: p.Publish(parts),
	})
}

func (p *Platform) putVMs(w http.ResponseWriter, request *http.Request) {
	var vms []qlplatform.VM
	if !decodeBody(w, request, &vms) {
		return
	}
	p.SetVMs(vms)
	writeJSON(w, vms)
}

func (p *Platform) serveSwitches(w http.ResponseWriter, request *http.Request) {
	p.mu.Lock()
	switches := p.switches
	p.mu.Unlock()
	if request.Method == http.MethodPut {
		if !decodeBody(w, request, &switches) {
			return
		}
		p.SetSwitches(switches)
	}
	writeJSON(w, switches)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Calls int64 `json:"calls"`
	}{
		Calls: p.Calls(),
	})
}
