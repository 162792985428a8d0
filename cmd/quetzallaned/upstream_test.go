package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// setSwitches sets the fault switches of a stand-in.
func (f *processFleet) setSwitches(server *httptest.Server, switches string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, server.URL+"/switches", strings.NewReader(switches))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("switches %s: %s", switches, response.Status)
	}
}

// TestStreamsUnderFaults cuts answers of both engines, and mixes them up with those
// to other requests, while many streams run. Each stream must be complete, after
// it was resumed or sent again, or end with an error.
func TestStreamsUnderFaults(t *testing.T) {
	f := newProcessFleet(t, 3)
	var wait sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for i := range 60 {
		if i%10 == 0 {
			f.setSwitches(f.engines[i/10%2], `{"cut": 3, "cross": 2}`)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			prompt := fmt.Sprintf("faulty %d", i)
			body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":20,"stream":true}`, prompt)
			got := f.call(f.processes[i%3], http.MethodPost, "/v1/completions", body, "", _testKey)
			if got.err != nil || got.code != int(qlcode.Answered) {
				return
			}
			checkTokens(t, got.body, prompt, 20)
			mu.Lock()
			defer mu.Unlock()
			completed++
		}()
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	sends := 0
	for _, engine := range f.engines {
		sends += f.countExecutions(engine)
	}
	t.Logf("%d of 60 streams were complete, after %d sends", completed, sends)
	if sends <= 60 {
		t.Errorf("sends: got %d, want more than 60 (otherwise no fault occurred)", sends)
	}
	// The retry budget of each router allows ten consecutive repeats.
	if want := 50; completed < want {
		t.Errorf("complete streams: got %d, want at least %d", completed, want)
	}
}

// countExecutions returns how many requests a stand-in has logged.
func (f *processFleet) countExecutions(server *httptest.Server) int {
	f.t.Helper()
	response, err := f.client.Get(server.URL + "/log")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var lines []struct {
		Request string `json:"request"`
		Call    string `json:"call"`
		Ended   bool   `json:"ended"`
	}
	if err := json.NewDecoder(response.Body).Decode(&lines); err != nil {
		f.t.Fatal(err)
	}
	return len(lines)
}

// TestUnknownOutcomeIsReported loses answers to bookings, cuts them, or mixes them
// up with answers to other requests. Each booking is executed once and must end with
// a code that says that its outcome is unknown. A repeat must be refused as a
// duplicate, and one with another body as a mismatch.
func TestUnknownOutcomeIsReported(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.waitClaimHistory()
	for name, want := range map[string]qlcode.Code{
		"lose":  qlcode.UpstreamCut,
		"cut":   qlcode.UpstreamCut,
		"cross": qlcode.AnswerCrossed,
	} {
		f.setSwitches(f.serviceServer, fmt.Sprintf(`{%q: 1}`, name))
		got := f.call(f.processes[1], http.MethodPost, "/services/booking/b", "{}", name, _testKey)
		if got.code != int(want) {
			t.Errorf("%s: got code %d (%v), want %d", name, got.code, got.err, want)
		}
		again := f.call(f.processes[2], http.MethodPost, "/services/booking/b", "{}", name, _testKey)
		if want := qlcode.DuplicateKey; again.code != int(want) {
			t.Errorf("%s repeated: got code %d, want %d", name, again.code, want)
		}
		mismatch := f.call(f.processes[0], http.MethodPost, "/services/booking/b", `{"other":1}`, name, _testKey)
		if want := qlcode.KeyBodyMismatch; mismatch.code != int(want) {
			t.Errorf("%s with another body: got code %d, want %d", name, mismatch.code, want)
		}
		if got := f.countBookings(name); got != 1 {
			t.Errorf("%s ran %d times, want once", name, got)
		}
	}
}

// TestLostLookupAnswersAreRetried loses answers to idempotent lookups. The router
// must send the lookups again, within the retry budget.
func TestLostLookupAnswersAreRetried(t *testing.T) {
	f := newProcessFleet(t, 3)
	for i := range 5 {
		f.setSwitches(f.serviceServer, `{"lose": 1}`)
		got := f.call(f.processes[i%3], http.MethodGet, "/services/booking/stock/1", "", "", _testKey)
		if got.code != int(qlcode.Answered) || !strings.Contains(got.body, `"stock":7`) {
			t.Errorf("lookup %d: got code %d, body %q", i, got.code, got.body)
		}
	}
}

// TestDeadEngineIsAvoided stops one of two engines. The other one must answer all
// completions.
func TestDeadEngineIsAvoided(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.engines[0].CloseClientConnections()
	f.engines[0].Close()
	for i := range 30 {
		body := fmt.Sprintf(`{"model":"m","prompt":"dead %d","max_tokens":3}`, i)
		got := f.call(f.processes[i%3], http.MethodPost, "/v1/completions", body, "", _testKey)
		if got.code != int(qlcode.Answered) {
			t.Errorf("completion %d: got code %d (%v), body %s", i, got.code, got.err, got.body)
		}
	}
}

// TestSecondSignalCutsAndReportsRequests sends a router two signals during a long
// stream. The stream must be cut, the log must name it, and the exit status must
// not be 0.
func TestSecondSignalCutsAndReportsRequests(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.checkStopCutsStream(f.processes[0], func(victim *process) {
		time.Sleep(500 * time.Millisecond)
		_ = victim.command.Process.Signal(syscall.SIGTERM)
	})
}

// TestStopDeadlineCutsAndReportsRequests stops a router whose stop-deadline is
// shorter than a stream. The stream must be cut and reported as after a second
// signal.
func TestStopDeadlineCutsAndReportsRequests(t *testing.T) {
	f := newProcessFleet(t, 3)
	victim := f.processes[0]
	f.stopCleanly(victim)
	text, err := os.ReadFile(victim.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	shorter := strings.Replace(string(text), `"stop-deadline": "10s"`, `"stop-deadline": "1s"`, 1)
	if err := os.WriteFile(victim.settingsPath, []byte(shorter), 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(victim)
	f.waitReady(victim)
	began := time.Now()
	f.checkStopCutsStream(victim, func(*process) {})
	if got, want := time.Since(began), 5*time.Second; got > want {
		t.Errorf("the stop took %v, want at most %v", got, want)
	}
}

// stopCleanly stops a router without active requests and checks that its exit
// status is 0.
func (f *processFleet) stopCleanly(p *process) {
	f.t.Helper()
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if p.exitErr != nil {
		f.t.Fatalf("%s: got exit %v, want status 0", p.id, p.exitErr)
	}
}

// checkStopCutsStream sends SIGTERM to a router during a long stream, calls
// afterSignal, and checks how the cut is reported in the stream, the log and the
// exit status.
func (f *processFleet) checkStopCutsStream(victim *process, afterSignal func(*process)) {
	f.t.Helper()
	done := make(chan answer, 1)
	go func() {
		body := `{"model":"m","prompt":"long","max_tokens":2000,"stream":true}`
		done <- f.call(victim, http.MethodPost, "/v1/completions", body, "", _testKey)
	}()
	time.Sleep(500 * time.Millisecond)
	_ = victim.command.Process.Signal(syscall.SIGTERM)
	afterSignal(victim)
	got := <-done
	<-victim.exited
	if got.err == nil {
		f.t.Errorf("the cut stream ended cleanly with code %d", got.code)
	}
	if victim.exitErr == nil {
		f.t.Error("exit status: got 0, want another")
	}
	if !strings.Contains(victim.log.String(), "event=request-cut") {
		f.t.Error("the log does not name the cut request")
	}
	if !strings.Contains(got.body, `"code":304`) {
		f.t.Errorf("the stream does not say that the stop cut it: %q", got.body[max(0, len(got.body)-200):])
	}
}

// TestSlowCallerDelaysNoOther has one caller that reads nothing of its long stream.
// Other requests through the same router must not be delayed.
func TestSlowCallerDelaysNoOther(t *testing.T) {
	f := newProcessFleet(t, 3)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.processes[0].callerAddress+"/v1/completions",
		strings.NewReader(`{"model":"m","prompt":"slow","max_tokens":3000,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+_testKey)
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	for i := range 30 {
		began := time.Now()
		got := f.call(f.processes[0], http.MethodGet, "/services/booking/stock/1", "", "", _testKey)
		if got.code != int(qlcode.Answered) || time.Since(began) > 2*time.Second {
			t.Errorf("lookup %d beside a slow caller: code %d after %v", i, got.code, time.Since(began))
		}
	}
}

// TestModelOrdersAreFenced changes the model in the configuration twice. The
// engines must be ordered to load it with the revision as fencing number, and must
// refuse an order with an older number.
func TestModelOrdersAreFenced(t *testing.T) {
	f := newProcessFleet(t, 3)
	for i, version := range []string{"v1", "v2"} {
		text := strings.ReplaceAll(string(f.configurationPart(8)), `"slots":8`, fmt.Sprintf(`"slots":8,"load":%q`, version))
		f.platform.Publish([][]byte{[]byte(text)})
		for _, engine := range f.engines {
			f.waitUntil("engine loads "+version, func() bool { return f.loadedOrder(engine).Load == version })
			if got, want := f.loadedOrder(engine).Fence, uint64(i+2); got != want {
				t.Errorf("fence: got %d, want %d", got, want)
			}
		}
	}
	old, err := f.client.Post(f.engines[0].URL+"/orders", "application/json", strings.NewReader(`{"load":"v1","fence":2}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = old.Body.Close()
	if got, want := old.StatusCode, http.StatusConflict; got != want {
		t.Errorf("order with an older fencing number: got status %d, want %d", got, want)
	}
}

// order is the state of the model orders at an engine.
type order struct {
	Load  string `json:"loaded"`
	Fence uint64 `json:"fence"`
}

// loadedOrder returns the order that the engine follows, or the zero value if it
// does not answer.
func (f *processFleet) loadedOrder(engine *httptest.Server) order {
	var o order
	response, err := f.client.Get(engine.URL + "/orders")
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&o)
	return o
}
