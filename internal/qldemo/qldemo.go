// Package qldemo is the caller and operator of scripts/demo: it publishes a
// configuration, sends requests as callers would, and checks the answers.
//
// # Usage
//
//	err := qldemo.Run(ctx, os.Stdout, plan)
package qldemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

const (
	_callTimeout  = 30 * time.Second
	_readyTimeout = 20 * time.Second
	_poll         = 20 * time.Millisecond
	_demoKey      = "demo-key-of-the-depot"
	_demoCustomer = "depot"
	_modelPool    = "parts"
	_servicePool  = "booking"
	_raisedLimit  = 40
)

// Plan holds the addresses of the demo's processes.
type Plan struct {
	PlatformAddress string   `json:"platform"`
	Routers         []Router `json:"routers"`
	EngineAddresses []string `json:"engines"`
	ServiceAddress  string   `json:"service"`
	// ClaimWindow is the routers' claim-window: bookings with a key wait for
	// the first one to pass.
	ClaimWindow qljson.Duration `json:"claim-window"`
}

// Router holds one router's addresses.
type Router struct {
	ID                string `json:"id"`
	Zone              string `json:"zone"`
	CallerAddress     string `json:"caller"`
	PeerAddress       string `json:"peer"`
	OperationsAddress string `json:"operations"`
}

type demo struct {
	plan Plan
	out  io.Writer
	http *http.Client
}

// Run runs the demo; an error says what did not hold.
func Run(ctx context.Context, out io.Writer, plan Plan) error {
	d := &demo{
		plan: plan,
		out:  out,
		http: &http.Client{
			Timeout: _callTimeout,
		},
	}
	for _, step := range []func(context.Context) error{
		d.publishVMs,
		func(ctx context.Context) error { return d.publish(ctx, 8) },
		d.waitReady,
		d.completion,
		d.stream,
		d.lookup,
		d.wrongKey,
		d.booking,
		d.raiseLimit,
		d.dumpState,
	} {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) publishVMs(ctx context.Context) error {
	var vms []qlplatform.VM
	for _, router := range d.plan.Routers {
		vms = append(vms, qlplatform.VM{
			ID:      router.ID,
			Kind:    qlplatform.KindRouter,
			Zone:    router.Zone,
			Address: router.PeerAddress,
			State:   qlplatform.StateLive,
		})
	}
	return d.put(ctx, "/control/vms", vms)
}

// publish puts a configuration in force with the depot's limit.
func (d *demo) publish(ctx context.Context, maxInFlight int) error {
	shared, err := json.Marshal(d.sharedPart())
	if err != nil {
		return errors.Trace(err)
	}
	customers, err := json.Marshal(qlconfig.Part{
		Customers: map[string]qlconfig.CustomerText{
			_demoCustomer: {
				Template:  "standard",
				KeyHashes: []string{qlconfig.HashKey(_demoKey)},
				Parameters: qlconfig.Limits{
					MaxInFlight: &maxInFlight,
				},
			},
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	return d.put(ctx, "/control/configuration", struct {
		Parts []string `json:"parts"`
	}{
		Parts: []string{string(shared), string(customers)},
	})
}

func (d *demo) sharedPart() qlconfig.Part {
	engines := make([]qlconfig.UpstreamText, 0, len(d.plan.EngineAddresses))
	for i, address := range d.plan.EngineAddresses {
		engines = append(engines, qlconfig.UpstreamText{
			ID:      fmt.Sprintf("engine-%d", i+1),
			Address: address,
			Zone:    d.plan.Routers[i%len(d.plan.Routers)].Zone,
			Slots:   4,
			Load:    "parts-model-v1",
		})
	}
	return qlconfig.Part{
		Templates: map[string]qlconfig.TemplateText{
			"standard": {
				Limits: qlconfig.Limits{
					Pools: []string{_modelPool, _servicePool},
				},
				Parameters: []string{"share", "max-in-flight"},
			},
		},
		Pools: map[string]qlconfig.PoolText{
			_modelPool: {
				Kind:        qlconfig.KindEngine,
				LargestCost: 4000,
				Timeout:     qljson.Duration(20 * time.Second),
				Upstreams:   engines,
				Repeatable: []qlconfig.CallText{
					{
						Method: http.MethodPost,
						Path:   "/v1/completions",
					},
				},
			},
			_servicePool: {
				Kind:        qlconfig.KindService,
				LargestCost: 1,
				Timeout:     qljson.Duration(5 * time.Second),
				Upstreams: []qlconfig.UpstreamText{
					{
						ID:      "booking-1",
						Address: d.plan.ServiceAddress,
						Zone:    d.plan.Routers[0].Zone,
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
		},
	}
}

func (d *demo) put(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.plan.PlatformAddress+path, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("platform answered %s", response.Status)
	}
	return nil
}

// until polls a condition.
func (d *demo) until(ctx context.Context, what string, limit time.Duration, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Timeoutf("%s within %v", what, limit)
		}
		time.Sleep(_poll)
	}
	return nil
}

func (d *demo) waitReady(ctx context.Context) error {
	for _, router := range d.plan.Routers {
		err := d.until(ctx, router.ID+" ready", _readyTimeout, func() bool {
			response, err := d.http.Get("http://" + router.CallerAddress + "/readyz")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		})
		if err != nil {
			return errors.Trace(err)
		}
		d.say("ready: router %s in zone %s", router.ID, router.Zone)
	}
	return nil
}

type call struct {
	router int
	method string
	path   string
	body   string
	key    string
	bearer string
}

// send sends a request and returns the answer with its body unread.
func (d *demo) send(ctx context.Context, c call) (*http.Response, error) {
	url := "http://" + d.plan.Routers[c.router%len(d.plan.Routers)].CallerAddress + c.path
	request, err := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader(c.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	bearer := _demoKey
	if c.bearer != "" {
		bearer = c.bearer
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	response, err := d.http.Do(request)
	return response, errors.Trace(err)
}

// expect sends a request, prints its answer and checks the result code.
func (d *demo) expect(ctx context.Context, title string, c call, want qlcode.Code) (string, error) {
	response, err := d.send(ctx, c)
	if err != nil {
		return "", errors.Annotate(err, title)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", errors.Annotate(err, title)
	}
	got := response.Header.Get(qlcode.HeaderName)
	d.say("%s: router=%s upstream=%s result=%s\n    %s", title,
		response.Header.Get("Quetzallane-Router"), response.Header.Get("Quetzallane-Upstream"), got, shorten(string(body)))
	if got != want.String() {
		return "", errors.Errorf("%s: result code %s, want %s", title, got, want)
	}
	return string(body), nil
}

func shorten(text string) string {
	text = strings.TrimSpace(text)
	const limit = 150
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}

func (d *demo) completion(ctx context.Context) error {
	_, err := d.expect(ctx, "completion", call{
		router: 0,
		method: http.MethodPost,
		path:   "/v1/completions",
		body:   `{"model":"parts","prompt":"a belt for conveyor 4","max_tokens":12}`,
	}, qlcode.Answered)
	return errors.Trace(err)
}

// stream shows a streamed completion as it comes and compares every token.
func (d *demo) stream(ctx context.Context) error {
	const prompt, tokens = "rollers for the north mill", 10
	response, err := d.send(ctx, call{
		router: 1,
		method: http.MethodPost,
		path:   "/v1/completions",
		body:   fmt.Sprintf(`{"model":"parts","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens),
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	d.say("stream: router=%s upstream=%s", response.Header.Get("Quetzallane-Router"), response.Header.Get("Quetzallane-Upstream"))
	began := time.Now()
	reader := qlupstream.NewReader(response.Body)
	for i := 0; ; i++ {
		event, err := reader.Next()
		if err != nil {
			return errors.Annotate(err, "stream")
		}
		d.say("    %4dms %s", time.Since(began).Milliseconds(), event.Data())
		if event.End() {
			break
		}
		if i < tokens && !strings.Contains(event.Data(), qlstandin.Token(prompt, i)) {
			return errors.Errorf("stream: event %d is not the token that belongs there", event.Number())
		}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if got, want := response.Trailer.Get(qlcode.HeaderName), qlcode.Answered.String(); got != want {
		return errors.Errorf("stream: result code %q in the trailer, want %s", got, want)
	}
	return nil
}

func (d *demo) lookup(ctx context.Context) error {
	_, err := d.expect(ctx, "stock lookup", call{
		router: 2,
		method: http.MethodGet,
		path:   "/services/booking/stock/belt-12",
	}, qlcode.Answered)
	return errors.Trace(err)
}

func (d *demo) wrongKey(ctx context.Context) error {
	_, err := d.expect(ctx, "wrong key", call{
		router: 0,
		method: http.MethodGet,
		path:   "/services/booking/stock/belt-12",
		bearer: "not-a-key",
	}, qlcode.UnknownKey)
	return errors.Trace(err)
}

// booking books once, and then again with the same key through another
// router; the service's own log must show one execution.
func (d *demo) booking(ctx context.Context) error {
	d.say("waiting until the routers have been up for a claim window (%v)", d.plan.ClaimWindow.Std())
	book := call{
		router: 0,
		method: http.MethodPost,
		path:   "/services/booking/bookings",
		body:   `{"tank":"5000l","slot":"tuesday"}`,
		key:    "order-1",
	}
	err := d.until(ctx, "routers that vouch for keys", _readyTimeout, d.allVouch)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := d.expect(ctx, "booking", book, qlcode.Answered); err != nil {
		return errors.Trace(err)
	}
	book.router = 1
	if _, err := d.expect(ctx, "same booking again", book, qlcode.DuplicateKey); err != nil {
		return errors.Trace(err)
	}
	return d.checkExecutions(book.key)
}

func (d *demo) allVouch() bool {
	for _, router := range d.plan.Routers {
		var state struct {
			Vouches bool `json:"vouches"`
		}
		if d.getJSON("http://"+router.OperationsAddress+"/debug/state", &state) != nil || !state.Vouches {
			return false
		}
	}
	return true
}

func (d *demo) getJSON(url string, into any) error {
	response, err := d.http.Get(url)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Trace(json.NewDecoder(response.Body).Decode(into))
}

func (d *demo) checkExecutions(key string) error {
	var log []qlstandin.Execution
	if err := d.getJSON("http://"+d.plan.ServiceAddress+"/log", &log); err != nil {
		return errors.Trace(err)
	}
	count := 0
	for _, line := range log {
		if line.Key == key {
			count++
		}
	}
	d.say("    the service's log shows %d execution of %s", count, key)
	if count != 1 {
		return errors.Errorf("booking %s ran %d times, want once", key, count)
	}
	return nil
}

// raiseLimit raises the depot's limit at the platform and measures the time
// until the last router has it in force.
func (d *demo) raiseLimit(ctx context.Context) error {
	before := d.lowestRevision()
	began := time.Now()
	if err := d.publish(ctx, _raisedLimit); err != nil {
		return errors.Trace(err)
	}
	err := d.until(ctx, "raised limit in force everywhere", _readyTimeout, func() bool { return d.lowestRevision() > before })
	if err != nil {
		return errors.Trace(err)
	}
	d.say("raised limit: in force on all %d routers after %v", len(d.plan.Routers), time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) lowestRevision() uint64 {
	lowest := ^uint64(0)
	for _, router := range d.plan.Routers {
		var state struct {
			Revision uint64 `json:"configuration-revision"`
		}
		if d.getJSON("http://"+router.OperationsAddress+"/debug/state", &state) != nil {
			return 0
		}
		lowest = min(lowest, state.Revision)
	}
	return lowest
}

func (d *demo) dumpState(context.Context) error {
	var state map[string]any
	if err := d.getJSON("http://"+d.plan.Routers[0].OperationsAddress+"/debug/state", &state); err != nil {
		return errors.Trace(err)
	}
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	d.say("state of %s:\n%s", d.plan.Routers[0].ID, text)
	violations, _ := state["invariant-violations"].(map[string]any)
	for name, count := range violations {
		if count != float64(0) {
			return errors.Errorf("invariant %s was violated %v times", name, count)
		}
	}
	return nil
}
