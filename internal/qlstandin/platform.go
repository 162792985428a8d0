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

// PlatformSwitches are the platform's faults.
type PlatformSwitches struct {
	// Down answers nothing but 503.
	Down bool `json:"down"`
	// Slow delays each answer.
	Delay qljson.Duration `json:"slow"`
	// Stale serves the values as they were when it was set.
	Stale bool `json:"stale"`
	// Old serves the configuration of this revision, if it is not 0.
	OldRevision uint64 `json:"old"`
}

// Platform stands in for the configuration service and the VM list. Its
// control calls are the operators' and the platform's own; routers only read.
type Platform struct {
	mu       sync.Mutex
	changed  chan struct{}
	switches PlatformSwitches
	values   platformValues
	stale    platformValues
	calls    int64
	// published holds every index, by revision.
	published map[uint64]qlconfig.Index
}

type platformValues struct {
	index qlconfig.Index
	parts map[string][]byte
	vms   qlplatform.VMs
}

// NewPlatform returns a platform with neither configuration nor VMs.
func NewPlatform() *Platform {
	return &Platform{
		changed:   make(chan struct{}),
		published: make(map[uint64]qlconfig.Index),
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

// Publish puts the parts in force as the next revision and returns it.
func (p *Platform) Publish(parts [][]byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values.index = qlconfig.NewIndex(p.values.index.Revision+1, parts)
	p.published[p.values.index.Revision] = p.values.index
	kept := make(map[string][]byte, len(parts))
	for i, part := range parts {
		kept[p.values.index.Parts[i]] = part
	}
	// Readers may still be on the way to parts of the revision before.
	for hash, part := range p.values.parts {
		if _, ok := kept[hash]; !ok && len(kept) < 2*len(parts)+16 {
			kept[hash] = part
		}
	}
	p.values.parts = kept
	p.wake()
	return p.values.index.Revision
}

// SetVMs puts a VM list in force.
func (p *Platform) SetVMs(vms []qlplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values.vms = qlplatform.VMs{
		Revision: p.values.vms.Revision + 1,
		VMs:      vms,
	}
	p.wake()
}

// SetSwitches sets the platform's faults.
func (p *Platform) SetSwitches(switches PlatformSwitches) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if switches.Stale && !p.switches.Stale {
		p.stale = p.values
	}
	p.switches = switches
	p.wake()
}

// Calls returns the number of read calls answered or refused.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// view returns the values that readers see, and a channel that is closed at
// the next change.
func (p *Platform) view() (platformValues, PlatformSwitches, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.switches.Stale {
		return p.stale, p.switches, p.changed
	}
	values := p.values
	if old, ok := p.published[p.switches.OldRevision]; ok {
		values.index = old
	}
	return values, p.switches, p.changed
}

// begin counts a call and applies the switches; it reports whether the call
// goes on.
func (p *Platform) begin(w http.ResponseWriter) bool {
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
	p.watch(w, request, func(v platformValues) (uint64, any) { return v.index.Revision, v.index })
}

func (p *Platform) serveVMs(w http.ResponseWriter, request *http.Request) {
	p.watch(w, request, func(v platformValues) (uint64, any) { return v.vms.Revision, v.vms })
}

// watch answers at once, or, with a wait, when the revision has passed the
// one that the reader has.
func (p *Platform) watch(w http.ResponseWriter, request *http.Request, pick func(platformValues) (uint64, any)) {
	if !p.begin(w) {
		return
	}
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		values, switches, changed := p.view()
		revision, value := pick(values)
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
	if !p.begin(w) {
		return
	}
	values, _, _ := p.view()
	part, ok := values.parts[mux.Vars(request)["hash"]]
	if !ok {
		http.NotFound(w, request)
		return
	}
	_, _ = w.Write(part)
}

// putConfiguration takes {"parts": ["text", ...]}. The stand-in does not
// check them: routers must refuse what is bad.
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
