package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

const (
	_waitTimeout = 15 * time.Second
	_claimWindow = 6 * time.Second
	_testKey     = "test-key"
)

// TestResultCodesOverProcesses checks the result codes of requests without an
// idempotency key through each router, and that no answer or log shows the bearer
// key.
func TestResultCodesOverProcesses(t *testing.T) {
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
				t.Errorf("%s through %s: the bearer key is in the answer or the log", test.name, p.id)
			}
		}
	}
}

// TestConcurrentStreamsAreComplete runs many concurrent streams with different prompts and
// checks that each one gets all of its own tokens in order.
func TestConcurrentStreamsAreComplete(t *testing.T) {
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

// checkTokens checks that a streamed answer begins with the given number of tokens
// that the stand-in engine generates for the prompt.
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

// TestBookingOnceThroughKillAndPause kills (SIGKILL) or pauses (SIGSTOP) the router
// that handles a booking, and repeats the booking through the other routers and
// then through the restarted or continued one. It must run at most once. On a machine
// that is so slow that a repeat is only sent after the claim window, that repeat may run
// it again: no claim is kept longer.
func TestBookingOnceThroughKillAndPause(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.waitClaimHistory()
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
		lastSent := time.Now()
		f.call(victim, http.MethodPost, "/services/booking/b", `{"n":1}`, key, _testKey)
		checkBookedOnce(t, key, f.bookings(key), lastSent)
		f.waitClaimHistory()
	}
}

// checkBookedOnce checks that a booking ran at most once. If the last repeat was sent
// after the claim window of the first execution, that repeat alone may have run it again.
func checkBookedOnce(t *testing.T, key string, begun []time.Time, lastSent time.Time) {
	t.Helper()
	want := 1
	if len(begun) > 0 && lastSent.Sub(begun[0]) > _claimWindow {
		want = 2
		t.Logf("%s: the last repeat was sent %v after the first execution, outside the window", key, lastSent.Sub(begun[0]))
	}
	if len(begun) > want || len(begun) == want && want == 2 && begun[1].Before(lastSent) {
		t.Errorf("%s ran %d times, at %v, want at most once before %v", key, len(begun), begun, lastSent)
	}
}

// TestRollingRestartCutsNothing restarts every router in turn with SIGTERM under
// load. As behind a load balancer, callers use only routers that report ready. No
// request may be cut or have an unknown outcome.
func TestRollingRestartCutsNothing(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.waitClaimHistory()
	stop := make(chan struct{})
	counts := &codeCounts{
		byCode: make(map[int]int),
	}
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.sendUntil(stop, i, counts)
		}()
	}
	for _, p := range f.processes {
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		_ = p.command.Process.Signal(syscall.SIGTERM)
		<-p.exited
		if p.exitErr != nil {
			t.Errorf("%s stopped with %v, want exit status 0", p.id, p.exitErr)
		}
		t.Logf("%s stopped after %v", p.id, time.Since(began).Round(time.Millisecond))
		f.start(p)
		f.waitReady(p)
	}
	close(stop)
	wait.Wait()
	t.Logf("requests by result code: %v", counts.byCode)
	for code, count := range counts.byCode {
		if run := qlcode.Code(code).Run(); run == qlcode.RunUnknown {
			t.Errorf("%d requests ended with code %d, whose outcome is unknown", count, code)
		}
	}
	if counts.byCode[int(qlcode.Answered)] == 0 {
		t.Error("no request was answered")
	}
}

// codeCounts counts requests by result code.
type codeCounts struct {
	mu     sync.Mutex
	byCode map[int]int
}

func (c *codeCounts) add(code int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byCode[code]++
}

// sendUntil sends one request after another to routers that are ready until stop
// is closed.
func (f *processFleet) sendUntil(stop chan struct{}, caller int, counts *codeCounts) {
	for j := 0; ; j++ {
		select {
		case <-stop:
			return
		default:
		}
		p := f.processes[(caller+j)%3]
		if !p.ready(f.client) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		got := f.sendOne(p, caller, j)
		counts.add(got.code)
		if got.err != nil {
			f.t.Errorf("request %d/%d through %s was cut: %v", caller, j, p.id, got.err)
		}
	}
}

// sendOne sends a streamed completion, or for every third request a booking
// without an idempotency key.
func (f *processFleet) sendOne(p *process, caller, sequence int) answer {
	if sequence%3 == 0 {
		return f.call(p, http.MethodPost, "/services/booking/b", `{}`, "", _testKey)
	}
	body := fmt.Sprintf(`{"model":"m","prompt":"load %d %d","max_tokens":20,"stream":true}`, caller, sequence)
	return f.call(p, http.MethodPost, "/v1/completions", body, "", _testKey)
}

// TestInvalidConfigurationIsRejected publishes a part with an unknown template,
// and then a valid one. The invalid revision must be rejected once as a whole, and
// the revision in force must stay until the valid one is published.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	f := newProcessFleet(t, 3)
	invalid := strings.Replace(string(f.configurationPart(50)), `"template":"t"`, `"template":"none"`, 1)
	f.platform.Publish([][]byte{[]byte(invalid)})
	f.waitUntil("r0 refuses revision 2", func() bool {
		return strings.Contains(f.processes[0].log.String(), "revision 2 refused, revision 1 stays in force")
	})
	time.Sleep(3 * time.Second)
	for _, p := range f.processes {
		if got, want := f.state(p).Revision, uint64(1); got != want {
			t.Errorf("%s: got revision %d, want %d", p.id, got, want)
		}
		if got := strings.Count(p.log.String(), "revision 2 refused"); got > 1 {
			t.Errorf("%s refused revision 2 %d times, want once", p.id, got)
		}
	}
	f.platform.Publish([][]byte{f.configurationPart(60)})
	f.waitRevision(3)
}

// TestConfigurationChangeWithSlowPlatform publishes a new limit while each answer
// of the configuration service takes a second.
func TestConfigurationChangeWithSlowPlatform(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.platform.SetSwitches(qlstandin.PlatformSwitches{Delay: qljson.Duration(time.Second)})
	began := time.Now()
	f.platform.Publish([][]byte{f.configurationPart(50)})
	f.waitRevision(2)
	t.Logf("in force on 3 routers after %v", time.Since(began).Round(time.Millisecond))
	if got, want := time.Since(began), 10*time.Second; got > want {
		t.Errorf("in force after %v, want at most %v", got, want)
	}
}

// TestRestartWithStalePlatformKeepsRevision restarts a router after a limit was
// raised, while the configuration service serves the older revision. The router
// must get the newer revision from the other routers.
func TestRestartWithStalePlatformKeepsRevision(t *testing.T) {
	f := newProcessFleet(t, 3)
	f.platform.Publish([][]byte{f.configurationPart(50)})
	f.waitRevision(2)
	f.platform.SetSwitches(qlstandin.PlatformSwitches{Down: true})
	victim := f.processes[1]
	_ = victim.command.Process.Kill()
	<-victim.exited
	f.platform.SetSwitches(qlstandin.PlatformSwitches{OldRevision: 1})
	f.start(victim)
	f.waitReady(victim)
	if got, want := f.state(victim).Revision, uint64(2); got != want {
		t.Errorf("revision of the router restarted while the service was stale: got %d, want %d", got, want)
	}
}
