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

	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// These tests run the built daemon as processes on loopback; the stand-ins
// live in the test's own process, so that their logs can be read directly.

const (
	_readyWithin = 15 * time.Second
	_claimWindow = 6 * time.Second
	_testKey     = "test-key"
)

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

type process struct {
	id         string
	zone       string
	caller     string
	peer       string
	operations string
	settings   string
	command    *exec.Cmd
	log        *lockedBuffer
	// exited is closed when the process has ended, exit then holds how.
	exited chan struct{}
	exit   error
}

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

type processFleet struct {
	t         *testing.T
	platform  *qlstandin.Platform
	engines   []*httptest.Server
	service   *qlstandin.Service
	upstream  *httptest.Server
	processes []*process
	client    *http.Client
}

// freeAddresses returns addresses that were free all at the same time, so
// that none comes twice.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func newProcessFleet(t *testing.T, routers int) *processFleet {
	t.Helper()
	return newProcessFleetOn(t, routers, func(f *processFleet, _ *process) string {
		platform := httptest.NewServer(f.platform.Handler())
		t.Cleanup(platform.Close)
		return platform.URL
	})
}

// newProcessFleetOn starts routers, each with the platform's URL that the
// function returns for it.
func newProcessFleetOn(t *testing.T, routers int, platform func(*processFleet, *process) string) *processFleet {
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
	f.upstream = httptest.NewServer(f.service.Handler())
	t.Cleanup(f.upstream.Close)
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
	f.platform.Publish([][]byte{f.part(8)})
	addresses := freeAddresses(t, 3*routers)
	for i := range routers {
		f.addRouter(i, addresses[3*i:])
	}
	for _, p := range f.processes {
		f.writeSettings(p, platform(f, p))
	}
	f.publishVMs()
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
		id:         fmt.Sprintf("r%d", i),
		zone:       fmt.Sprintf("z%d", i%3),
		caller:     addresses[0],
		peer:       addresses[1],
		operations: addresses[2],
	})
}

func (f *processFleet) writeSettings(p *process, platform string) {
	f.t.Helper()
	p.settings = filepath.Join(f.t.TempDir(), p.id+".json")
	text := fmt.Sprintf(`{
		"id": %q, "zone": %q, "caller-address": %q, "peer-address": %q, "operations-address": %q,
		"platform": %q, "max-body": 10000, "max-answer": 1000000, "claim-window": %q, "load-period": "100ms",
		"balancer-notice": "300ms", "stop-deadline": "10s", "log-level": "info"}`,
		p.id, p.zone, p.caller, p.peer, p.operations, platform, _claimWindow.String())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *processFleet) publishVMs() {
	var vms []qlplatform.VM
	for _, p := range f.processes {
		vms = append(vms, qlplatform.VM{
			ID:      p.id,
			Kind:    qlplatform.KindRouter,
			Zone:    p.zone,
			Address: p.peer,
			State:   qlplatform.StateLive,
		})
	}
	f.platform.SetVMs(vms)
}

// part is the configuration with a limit for the one customer.
func (f *processFleet) part(limit int) []byte {
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
						Address: host(f.upstream),
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
					MaxInFlight: &limit,
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
	p.command = exec.Command(_binary, "--settings", p.settings)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	command, exited := p.command, p.exited
	go func() {
		err := command.Wait()
		p.exit = err
		close(exited)
	}()
}

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
	response, err := client.Get("http://" + p.caller + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (f *processFleet) waitReady(p *process) {
	f.t.Helper()
	f.until(p.id+" ready", func() bool { return p.ready(f.client) })
}

func (f *processFleet) until(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(_readyWithin)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", _readyWithin, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *processFleet) waitVouching() {
	f.t.Helper()
	for _, p := range f.processes {
		f.until(p.id+" vouches", func() bool { return f.state(p).Vouches })
	}
}

type state struct {
	Vouches  bool   `json:"vouches"`
	Revision uint64 `json:"configuration-revision"`
}

func (f *processFleet) state(p *process) state {
	var s state
	response, err := f.client.Get("http://" + p.operations + "/debug/state")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

type answer struct {
	code int
	body string
	err  error
}

// call sends a request; a connection that breaks gives an error and no code.
func (f *processFleet) call(p *process, method, path, body, key, bearer string) answer {
	request, err := http.NewRequest(method, "http://"+p.caller+path, strings.NewReader(body))
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
		body: string(data),
		err:  err,
	}
	_, _ = fmt.Sscan(text, &a.code)
	return a
}

func (f *processFleet) bookings(key string) int {
	f.t.Helper()
	recorder := httptest.NewRecorder()
	f.service.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/log", nil))
	var log []qlstandin.Execution
	if err := json.Unmarshal(recorder.Body.Bytes(), &log); err != nil {
		f.t.Fatal(err)
	}
	count := 0
	for _, line := range log {
		if line.Key == key {
			count++
		}
	}
	return count
}

func TestPathOverProcesses(t *testing.T) {
	f := newProcessFleet(t, 3)
	large := strings.Repeat("x", 20000)
	for _, test := range []struct {
		name   string
		method string
		path   string
		body   string
		bearer string
		want   qlcode.Code
	}{
		{name: "completion", method: http.MethodPost, path: "/v1/completions", body: `{"model":"m","prompt":"p","max_tokens":3}`, bearer: _testKey, want: qlcode.Answered},
		{name: "lookup", method: http.MethodGet, path: "/services/booking/stock/1", bearer: _testKey, want: qlcode.Answered},
		{name: "wrong key", method: http.MethodGet, path: "/services/booking/stock/1", bearer: "wrong", want: qlcode.UnknownKey},
		{name: "no key", method: http.MethodGet, path: "/services/booking/stock/1", want: qlcode.UnknownKey},
		{name: "unknown model", method: http.MethodPost, path: "/v1/completions", body: `{"model":"x"}`, bearer: _testKey, want: qlcode.UnknownPool},
		{name: "unknown service", method: http.MethodGet, path: "/services/none/x", bearer: _testKey, want: qlcode.UnknownPool},
		{name: "not JSON", method: http.MethodPost, path: "/v1/completions", body: `{`, bearer: _testKey, want: qlcode.BadRequest},
		{name: "body too large", method: http.MethodPost, path: "/v1/completions", body: large, bearer: _testKey, want: qlcode.BodyTooLarge},
		{name: "no upstream", method: http.MethodGet, path: "/services/empty/x", bearer: _testKey, want: qlcode.NoUpstream},
	} {
		for _, p := range f.processes {
			got := f.call(p, test.method, test.path, test.body, "", test.bearer)
			if got.err != nil || got.code != int(test.want) {
				t.Errorf("%s through %s: got code %d, error %v, want %d; body %s", test.name, p.id, got.code, got.err, test.want, got.body)
			}
			if strings.Contains(got.body, _testKey) || strings.Contains(p.log.String(), _testKey) {
				t.Errorf("%s through %s: the key shows", test.name, p.id)
			}
		}
	}
}

// TestStreamsByteForByte runs many streams at once, each with its own text.
func TestStreamsByteForByte(t *testing.T) {
	f := newProcessFleet(t, 3)
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			prompt := fmt.Sprintf("prompt %d", i)
			body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":20,"stream":true}`, prompt)
			got := f.call(f.processes[i%3], http.MethodPost, "/v1/completions", body, "", _testKey)
			if got.err != nil || got.code != int(qlcode.Answered) {
				t.Errorf("stream %d: got code %d, error %v", i, got.code, got.err)
				return
			}
			checkTokens(t, got.body, prompt, 20)
		}()
	}
	wait.Wait()
}

func checkTokens(t *testing.T, body, prompt string, tokens int) {
	t.Helper()
	reader := qlupstream.NewReader(strings.NewReader(body))
	for i := range tokens {
		event, err := reader.Next()
		if err != nil {
			t.Errorf("%s: event %d: %v", prompt, i+1, err)
			return
		}
		var token struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal([]byte(event.Data()), &token); err != nil {
			t.Errorf("%s: event %d: %v", prompt, i+1, err)
		}
		if got, want := token.Text, qlstandin.Token(prompt, i); got != want {
			t.Errorf("%s: token %d: got %q, want %q", prompt, i, got, want)
		}
	}
}

// TestBookingOnceThroughKillAndPause books while the router that has the
// booking is killed (-9) or stopped, and repeats it through the others.
func TestBookingOnceThroughKillAndPause(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.waitVouching()
	for i := range 6 {
		key := fmt.Sprintf("order-%d", i)
		victim := f.processes[i%3]
		first := make(chan answer, 1)
		go func() { first <- f.call(victim, http.MethodPost, "/services/booking/b", `{"n":1}`, key, _testKey) }()
		time.Sleep(time.Duration(5*i) * time.Millisecond)
		if i%2 == 0 {
			_ = victim.command.Process.Kill()
			<-victim.exited
		} else {
			_ = victim.command.Process.Signal(syscall.SIGSTOP)
		}
		for j := 1; j <= 2; j++ {
			got := f.call(f.processes[(i+j)%3], http.MethodPost, "/services/booking/b", `{"n":1}`, key, _testKey)
			t.Logf("%s repeated through %s: code %d", key, f.processes[(i+j)%3].id, got.code)
		}
		if i%2 == 0 {
			f.start(victim)
		} else {
			_ = victim.command.Process.Signal(syscall.SIGCONT)
		}
		f.waitReady(victim)
		<-first
		f.call(victim, http.MethodPost, "/services/booking/b", `{"n":1}`, key, _testKey)
		if got := f.bookings(key); got > 1 {
			t.Errorf("%s ran %d times, want at most once", key, got)
		}
		f.waitVouching()
	}
}

// TestRollingRestartCutsNothing restarts every router by SIGTERM under load.
// Callers go, as behind a balancer, to routers that report ready.
func TestRollingRestartCutsNothing(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.waitVouching()
	stop := make(chan struct{})
	tally := &tally{
		codes: make(map[int]int),
	}
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.loadUntil(stop, i, tally)
		}()
	}
	for _, p := range f.processes {
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		_ = p.command.Process.Signal(syscall.SIGTERM)
		<-p.exited
		if p.exit != nil {
			t.Errorf("%s stopped with %v, want exit status 0", p.id, p.exit)
		}
		t.Logf("%s stopped after %v", p.id, time.Since(began).Round(time.Millisecond))
		f.start(p)
		f.waitReady(p)
	}
	close(stop)
	wait.Wait()
	t.Logf("requests by result code: %v", tally.codes)
	for code, count := range tally.codes {
		if run := qlcode.Code(code).Run(); run == qlcode.RunUnknown {
			t.Errorf("%d requests ended with code %d, whose outcome is unknown", count, code)
		}
	}
	if tally.codes[int(qlcode.Answered)] == 0 {
		t.Error("no request was answered")
	}
}

type tally struct {
	mu    sync.Mutex
	codes map[int]int
}

func (t *tally) add(code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.codes[code]++
}

// loadUntil sends one request after another to routers that are ready.
func (f *processFleet) loadUntil(stop chan struct{}, i int, tally *tally) {
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		default:
		}
		p := f.processes[(i+j)%3]
		if !p.ready(f.client) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		got := f.load(p, i, j)
		tally.add(got.code)
		if got.err != nil {
			f.t.Errorf("request %d/%d through %s was cut: %v", i, j, p.id, got.err)
		}
	}
}

// load sends a stream or a booking without a key.
func (f *processFleet) load(p *process, i, j int) answer {
	if j%3 == 0 {
		return f.call(p, http.MethodPost, "/services/booking/b", `{}`, "", _testKey)
	}
	body := fmt.Sprintf(`{"model":"m","prompt":"load %d %d","max_tokens":20,"stream":true}`, i, j)
	return f.call(p, http.MethodPost, "/v1/completions", body, "", _testKey)
}

// TestLimitStaysRaisedOverProcesses raises the limit while the service is
// stale for the routers that restart.
func TestLimitStaysRaisedOverProcesses(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.platform.Publish([][]byte{f.part(50)})
	f.until("revision 2 everywhere", func() bool {
		for _, p := range f.processes {
			if f.state(p).Revision != 2 {
				return false
			}
		}
		return true
	})
	f.platform.SetSwitches(qlstandin.PlatformSwitches{Down: true})
	victim := f.processes[1]
	_ = victim.command.Process.Kill()
	<-victim.exited
	f.platform.SetSwitches(qlstandin.PlatformSwitches{Old: 1})
	f.start(victim)
	f.waitReady(victim)
	if got, want := f.state(victim).Revision, uint64(2); got != want {
		t.Errorf("revision of the router restarted beside a stale service: got %d, want %d", got, want)
	}
}
