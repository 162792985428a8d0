package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// These tests run the built daemon as processes on loopback. The stand-ins for
// the platform and the upstreams run in the test's own process, so that tests can
// read their logs directly.

// _binary is the path of the daemon that TestMain builds.
var _binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "quetzallaned")
	if err != nil {
		panic(err)
	}
	_binary = filepath.Join(folder, "quetzallaned")
	if out, err := exec.Command("go", "build", "-o", _binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one router.
type process struct {
	id                string
	zone              string
	callerAddress     string
	peerAddress       string
	operationsAddress string
	settingsPath      string
	command           *exec.Cmd
	log               *lockedBuffer
	// exited is closed when the process has ended; exitErr is valid from then
	// on, and is nil for exit status 0.
	exited  chan struct{}
	exitErr error
}

// lockedBuffer is a buffer that a process can write to while the test reads it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// processFleet is a fleet of routers with two engines and one service.
type processFleet struct {
	t             *testing.T
	platform      *qlstandin.Platform
	engines       []*httptest.Server
	service       *qlstandin.Service
	serviceServer *httptest.Server
	processes     []*process
	client        *http.Client
}

// freeAddresses returns distinct free addresses: all of them are bound at the same
// time before they are released.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", qlloopbacktest.IP(1)+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// newProcessFleet starts routers, each with its own server for the same platform,
// and waits until they are ready.
func newProcessFleet(t *testing.T, routers int) *processFleet {
	t.Helper()
	return newProcessFleetWithPlatforms(t, routers, func(f *processFleet, _ *process) string {
		platform := httptest.NewServer(f.platform.Handler())
		t.Cleanup(platform.Close)
		return platform.URL
	})
}

// newProcessFleetWithPlatforms starts routers and waits until they are ready.
// platformURL returns the URL at which a router reads the platform.
func newProcessFleetWithPlatforms(t *testing.T, routers int, platformURL func(*processFleet, *process) string) *processFleet {
	t.Helper()
	f := &processFleet{
		t:        t,
		platform: qlstandin.NewPlatform(),
		service: qlstandin.NewService(qlstandin.ServiceConfig{
			ID:       "b1",
			CallTime: 20 * time.Millisecond,
		}),
		client: &http.Client{
			Timeout: 20 * time.Second,
		},
	}
	f.serviceServer = httptest.NewServer(f.service.Handler())
	t.Cleanup(f.serviceServer.Close)
	for i := range 2 {
		engine := httptest.NewServer(qlstandin.NewEngine(qlstandin.EngineConfig{
			ID:             fmt.Sprintf("e%d", i),
			Slots:          8,
			TokenTime:      3 * time.Millisecond,
			CachedPrefixes: 8,
		}).Handler())
		t.Cleanup(engine.Close)
		f.engines = append(f.engines, engine)
	}
	f.platform.Publish([][]byte{f.configurationPart(8)})
	addresses := freeAddresses(t, 3*routers)
	for i := range routers {
		f.addRouter(i, addresses[3*i:])
	}
	for _, p := range f.processes {
		f.writeSettings(p, platformURL(f, p))
	}
	f.publishVMList()
	for _, p := range f.processes {
		f.start(p)
	}
	t.Cleanup(f.killAll)
	for _, p := range f.processes {
		f.waitReady(p)
	}
	return f
}

func (f *processFleet) addRouter(i int, addresses []string) {
	f.processes = append(f.processes, &process{
		id:                fmt.Sprintf("r%d", i),
		zone:              fmt.Sprintf("z%d", i%3),
		callerAddress:     addresses[0],
		peerAddress:       addresses[1],
		operationsAddress: addresses[2],
	})
}

func (f *processFleet) writeSettings(p *process, platformURL string) {
	f.t.Helper()
	p.settingsPath = filepath.Join(f.t.TempDir(), p.id+".json")
	text := fmt.Sprintf(`{
		"id": %q, "zone": %q, "caller-address": %q, "peer-address": %q, "operations-address": %q,
		"platform": %q, "max-body": 10000, "max-answer": 1000000, "claim-window": %q, "load-period": "100ms",
		"balancer-notice": "300ms", "stop-deadline": "10s", "log-level": "info"}`,
		p.id, p.zone, p.callerAddress, p.peerAddress, p.operationsAddress, platformURL, _claimWindow.String())
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) publishVMList() {
	var vms []qlplatform.VM
	for _, p := range f.processes {
		vms = append(vms, qlplatform.VM{
			ID:      p.id,
			Kind:    qlplatform.KindRouter,
			Zone:    p.zone,
			Address: p.peerAddress,
			State:   qlplatform.StateLive,
		})
	}
	f.platform.SetVMs(vms)
}

// configurationPart returns a configuration in one part, with one customer that
// has the limit on concurrent requests.
func (f *processFleet) configurationPart(maxInFlight int) []byte {
	host := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	engines := make([]qlconfig.UpstreamText, 0, len(f.engines))
	for i, engine := range f.engines {
		engines = append(engines, qlconfig.UpstreamText{
			ID:      fmt.Sprintf("e%d", i),
			Address: host(engine),
			Zone:    fmt.Sprintf("z%d", i),
			Slots:   8,
		})
	}
	part := qlconfig.Part{
		Templates: map[string]qlconfig.TemplateText{
			"t": {
				Limits: qlconfig.Limits{
					Pools: []string{"m", "booking", "empty"},
				},
				Parameters: []string{"max-in-flight"},
			},
		},
		Pools: map[string]qlconfig.PoolText{
			"m": {
				Kind:        qlconfig.KindEngine,
				LargestCost: 1000,
				Timeout:     qljson.Duration(10 * time.Second),
				Upstreams:   engines,
				Repeatable: []qlconfig.CallText{
					{
						Method: http.MethodPost,
						Path:   "/v1/completions",
					},
				},
			},
			"booking": {
				Kind:        qlconfig.KindService,
				LargestCost: 1,
				Timeout:     qljson.Duration(2 * time.Second),
				Upstreams: []qlconfig.UpstreamText{
					{
						ID:      "b1",
						Address: host(f.serviceServer),
						Zone:    "z0",
						Slots:   8,
					},
				},
				Repeatable: []qlconfig.CallText{
					{
						Method: http.MethodGet,
						Path:   "/",
					},
				},
			},
			"empty": {
				Kind:        qlconfig.KindService,
				LargestCost: 1,
				Timeout:     qljson.Duration(time.Second),
			},
		},
		Customers: map[string]qlconfig.CustomerText{
			"c": {
				Template:  "t",
				KeyHashes: []string{qlconfig.HashKey(_testKey)},
				Parameters: qlconfig.Limits{
					MaxInFlight: &maxInFlight,
				},
			},
		},
	}
	text, err := json.Marshal(part)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

func (f *processFleet) start(p *process) {
	f.t.Helper()
	p.log = &lockedBuffer{}
	p.command = exec.Command(_binary, "--settings", p.settingsPath)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	command, exited := p.command, p.exited
	go func() {
		err := command.Wait()
		p.exitErr = err
		close(exited)
	}()
}

// killAll kills all routers and fails the test if one logged the violation of an
// invariant. Paused routers are continued first.
func (f *processFleet) killAll() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.id, p.log)
		}
		if strings.Contains(p.log.String(), "event=invariant-violated") {
			f.t.Errorf("%s violated an invariant:\n%s", p.id, p.log)
		}
	}
}

func (p *process) ready(client *http.Client) bool {
	response, err := client.Get("http://" + p.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (f *processFleet) waitReady(p *process) {
	f.t.Helper()
	f.waitUntil(p.id+" ready", func() bool { return p.ready(f.client) })
}

// waitUntil polls the condition and fails the test if it does not hold within
// _waitTimeout.
func (f *processFleet) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(_waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %v: %s", _waitTimeout, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitRevision waits until the revision is in force on all routers.
func (f *processFleet) waitRevision(revision uint64) {
	f.t.Helper()
	for _, p := range f.processes {
		f.waitUntil(fmt.Sprintf("revision %d at %s", revision, p.id), func() bool { return f.state(p).Revision == revision })
	}
}

// waitClaimHistory waits until the claim history of all routers is complete: a
// router that has just started refuses calls with an idempotency key, since it may
// not know of earlier claims.
func (f *processFleet) waitClaimHistory() {
	f.t.Helper()
	for _, p := range f.processes {
		f.waitUntil(p.id+" has a complete claim history", func() bool { return f.state(p).HistoryComplete })
	}
}

// routerState is the part of the state dump of a router that the tests read.
type routerState struct {
	HistoryComplete bool   `json:"vouches"`
	Revision        uint64 `json:"configuration-revision"`
}

// state returns the state of a router, or the zero value if it does not answer.
func (f *processFleet) state(p *process) routerState {
	var s routerState
	response, err := f.client.Get("http://" + p.operationsAddress + "/debug/state")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

// answer is a router's answer to a request.
type answer struct {
	code int
	body string
	// request is the id of this request, and original that of the earlier
	// request with the same idempotency key, if any.
	request  string
	original string
	err      error
}

// call sends a request. If the connection breaks before the answer starts, the
// answer has an error and no code.
func (f *processFleet) call(p *process, method, path, body, key, bearer string) answer {
	request, err := http.NewRequest(method, "http://"+p.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	text := response.Header.Get(qlcode.HeaderName)
	if trailer := response.Trailer.Get(qlcode.HeaderName); trailer != "" {
		text = trailer
	}
	a := answer{
		body:     string(data),
		request:  response.Header.Get("X-Request-Id"),
		original: response.Header.Get("Quetzallane-Original-Request"),
		err:      err,
	}
	_, _ = fmt.Sscan(text, &a.code)
	return a
}

// bookings returns when the service began to execute the bookings with the key.
func (f *processFleet) bookings(key string) []time.Time {
	f.t.Helper()
	recorder := httptest.NewRecorder()
	f.service.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/log", nil))
	var log []qlstandin.Execution
	if err := json.Unmarshal(recorder.Body.Bytes(), &log); err != nil {
		f.t.Fatal(err)
	}
	var begun []time.Time
	for _, line := range log {
		if line.Key == key {
			begun = append(begun, line.Begun)
		}
	}
	return begun
}

// countBookings returns how often the service executed a booking with the key.
func (f *processFleet) countBookings(key string) int {
	f.t.Helper()
	return len(f.bookings(key))
}
