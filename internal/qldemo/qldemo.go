// Package qldemo acts as the operator and the callers in scripts/demo. The script
// starts three routers, with stand-ins for the platform, two model engines and a
// booking service, and lists their addresses in a Plan. Run publishes a VM list
// and a configuration, sends requests through different routers, checks each
// result code, and checks that a booking repeated with the same idempotency key
// is executed once and that a changed limit reaches every router.
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
	"github.com/quetzallane/quetzallane/internal/qlhead"
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
	_pollInterval = 20 * time.Millisecond
	_apiKey       = "demo-key-of-the-depot"
	_customer     = "depot"
	_modelPool    = "parts"
	_servicePool  = "booking"
	_raisedLimit  = 40
)

// Plan holds the addresses (host:port) of the demo's processes.
type Plan struct {
	PlatformAddress string   `json:"platform"`
	Routers         []Router `json:"routers"`
	EngineAddresses []string `json:"engines"`
	ServiceAddress  string   `json:"service"`
	// ClaimWindow is the routers' claim-window. Until a router has been up for
	// that long, it may not know of earlier claims of idempotency keys, so the
	// demo waits before it sends bookings with a key.
	ClaimWindow qljson.Duration `json:"claim-window"`
}

// Router holds a router's id, zone and addresses (host:port).
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

// Run runs the demo's steps in order and prints them to out. It stops at the
// first step that fails and returns its error.
func Run(ctx context.Context, out io.Writer, plan Plan) error {
	d := &demo{
		plan: plan,
		out:  out,
		http: &http.Client{
			Transport: qlhead.DefaultTransport(),
			Timeout:   _callTimeout,
		},
	}
	for _, step := range []func(context.Context) error{
		d.publishVMs,
		func(ctx context.Context) error { return d.publishConfiguration(ctx, 8) },
		d.waitReady,
		d.checkCompletion,
		d.checkStream,
		d.checkLookup,
		d.checkWrongKey,
		d.checkBooking,
		d.checkRaisedLimit,
		d.checkState,
	} {
		if err := step(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (d *demo) printf(format string, args ...any) {
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
	return d.putControl(ctx, "/control/vms", vms)
}

// publishConfiguration publishes a configuration in which the demo's customer
// may have maxInFlight requests in flight.
func (d *demo) publishConfiguration(ctx context.Context, maxInFlight int) error {
	shared, err := json.Marshal(d.sharedPart())
	if err != nil {
		return errors.Trace(err)
	}
	customers, err := json.Marshal(qlconfig.Part{
		Customers: map[string]qlconfig.CustomerText{
			_customer: {
				Template:  "standard",
				KeyHashes: []string{qlconfig.HashKey(_apiKey)},
				Parameters: qlconfig.Limits{
					MaxInFlight: &maxInFlight,
				},
			},
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	return d.putControl(ctx, "/control/configuration", struct {
		Parts []string `json:"parts"`
	}{
		Parts: []string{string(shared), string(customers)},
	})
}

// sharedPart returns the part of the configuration that is the same for all
// customers: the template and the pools.
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

func (d *demo) putControl(ctx context.Context, path string, body any) error {
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

// waitUntil polls a condition until it is true. It returns an error that names
// the condition by its description if that takes longer than the timeout.
func (d *demo) waitUntil(ctx context.Context, description string, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Timeoutf("%s within %v", description, timeout)
		}
		time.Sleep(_pollInterval)
	}
	return nil
}

func (d *demo) waitReady(ctx context.Context) error {
	for _, router := range d.plan.Routers {
		err := d.waitUntil(ctx, router.ID+" ready", _readyTimeout, func() bool {
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
		d.printf("ready: router %s in zone %s", router.ID, router.Zone)
	}
	return nil
}

type call struct {
	routerIndex    int
	method         string
	path           string
	body           string
	idempotencyKey string
	apiKey         string
}

// send sends a request and returns the answer with its body unread. It uses the
// demo customer's API key unless the call names another.
func (d *demo) send(ctx context.Context, c call) (*http.Response, error) {
	url := "http://" + d.plan.Routers[c.routerIndex%len(d.plan.Routers)].CallerAddress + c.path
	request, err := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader(c.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	bearer := _apiKey
	if c.apiKey != "" {
		bearer = c.apiKey
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	response, err := d.http.Do(request)
	return response, errors.Trace(err)
}

// sendAndCheck sends a request, prints the answer, checks its result code and
// returns its body.
func (d *demo) sendAndCheck(ctx context.Context, step string, c call, want qlcode.Code) (string, error) {
	response, err := d.send(ctx, c)
	if err != nil {
		return "", errors.Annotate(err, step)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", errors.Annotate(err, step)
	}
	got := response.Header.Get(qlcode.HeaderName)
	d.printf("%s: router=%s upstream=%s result=%s\n    %s", step,
		response.Header.Get("Quetzallane-Router"), response.Header.Get("Quetzallane-Upstream"), got, truncate(string(body)))
	if got != want.String() {
		return "", errors.Errorf("%s: result code %s, want %s", step, got, want)
	}
	return string(body), nil
}

func truncate(text string) string {
	text = strings.TrimSpace(text)
	const limit = 150
	if len(text) > limit {
		return text[:limit] + "..."
	}
	return text
}

func (d *demo) checkCompletion(ctx context.Context) error {
	_, err := d.sendAndCheck(ctx, "completion", call{
		routerIndex: 0,
		method:      http.MethodPost,
		path:        "/v1/completions",
		body:        `{"model":"parts","prompt":"a belt for conveyor 4","max_tokens":12}`,
	}, qlcode.Answered)
	return errors.Trace(err)
}

// checkStream prints the events of a streamed completion with their arrival times
// and checks the text of every token and the result code in the trailer.
func (d *demo) checkStream(ctx context.Context) error {
	const prompt, tokens = "rollers for the north mill", 10
	response, err := d.send(ctx, call{
		routerIndex: 1,
		method:      http.MethodPost,
		path:        "/v1/completions",
		body:        fmt.Sprintf(`{"model":"parts","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens),
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	d.printf("stream: router=%s upstream=%s", response.Header.Get("Quetzallane-Router"), response.Header.Get("Quetzallane-Upstream"))
	start := time.Now()
	reader := qlupstream.NewReader(response.Body)
	for i := 0; ; i++ {
		event, err := reader.Next()
		if err != nil {
			return errors.Annotate(err, "stream")
		}
		d.printf("    %4dms %s", time.Since(start).Milliseconds(), event.Data())
		if event.End() {
			break
		}
		if i < tokens && !strings.Contains(event.Data(), qlstandin.Token(prompt, i)) {
			return errors.Errorf("stream: event %d does not contain the expected token", event.Number())
		}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if got, want := response.Trailer.Get(qlcode.HeaderName), qlcode.Answered.String(); got != want {
		return errors.Errorf("stream: result code %q in the trailer, want %s", got, want)
	}
	return nil
}

func (d *demo) checkLookup(ctx context.Context) error {
	_, err := d.sendAndCheck(ctx, "stock lookup", call{
		routerIndex: 2,
		method:      http.MethodGet,
		path:        "/services/booking/stock/belt-12",
	}, qlcode.Answered)
	return errors.Trace(err)
}

func (d *demo) checkWrongKey(ctx context.Context) error {
	_, err := d.sendAndCheck(ctx, "wrong key", call{
		routerIndex: 0,
		method:      http.MethodGet,
		path:        "/services/booking/stock/belt-12",
		apiKey:      "not-a-key",
	}, qlcode.UnknownKey)
	return errors.Trace(err)
}

// checkBooking sends a booking, and sends it again with the same idempotency key
// through another router. The second must be refused as a duplicate, and the
// service's log must show one execution.
func (d *demo) checkBooking(ctx context.Context) error {
	d.printf("waiting one claim window (%v), until every router's claim history is complete", d.plan.ClaimWindow.Std())
	booking := call{
		routerIndex:    0,
		method:         http.MethodPost,
		path:           "/services/booking/bookings",
		body:           `{"tank":"5000l","slot":"tuesday"}`,
		idempotencyKey: "order-1",
	}
	err := d.waitUntil(ctx, "complete claim history on every router", _readyTimeout, d.historiesComplete)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := d.sendAndCheck(ctx, "booking", booking, qlcode.Answered); err != nil {
		return errors.Trace(err)
	}
	booking.routerIndex = 1
	if _, err := d.sendAndCheck(ctx, "same booking again", booking, qlcode.DuplicateKey); err != nil {
		return errors.Trace(err)
	}
	return d.checkExecutions(booking.idempotencyKey)
}

// historiesComplete reports whether each router has been up long enough to know
// every claim of an idempotency key that is still valid.
func (d *demo) historiesComplete() bool {
	for _, router := range d.plan.Routers {
		var state struct {
			HistoryComplete bool `json:"vouches"`
		}
		if d.getJSON("http://"+router.OperationsAddress+"/debug/state", &state) != nil || !state.HistoryComplete {
			return false
		}
	}
	return true
}

func (d *demo) getJSON(url string, target any) error {
	response, err := d.http.Get(url)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Trace(json.NewDecoder(response.Body).Decode(target))
}

// checkExecutions checks that the service executed one request with the key.
func (d *demo) checkExecutions(key string) error {
	var executions []qlstandin.Execution
	if err := d.getJSON("http://"+d.plan.ServiceAddress+"/log", &executions); err != nil {
		return errors.Trace(err)
	}
	count := 0
	for _, execution := range executions {
		if execution.Key == key {
			count++
		}
	}
	d.printf("    the service's log shows %d execution of %s", count, key)
	if count != 1 {
		return errors.Errorf("booking %s ran %d times, want once", key, count)
	}
	return nil
}

// checkRaisedLimit publishes a configuration with a higher limit and prints the
// time until every router has adopted it.
func (d *demo) checkRaisedLimit(ctx context.Context) error {
	previous := d.lowestRevision()
	start := time.Now()
	if err := d.publishConfiguration(ctx, _raisedLimit); err != nil {
		return errors.Trace(err)
	}
	err := d.waitUntil(ctx, "raised limit in force on every router", _readyTimeout, func() bool { return d.lowestRevision() > previous })
	if err != nil {
		return errors.Trace(err)
	}
	d.printf("raised limit: in force on all %d routers after %v", len(d.plan.Routers), time.Since(start).Round(time.Millisecond))
	return nil
}

// lowestRevision returns the lowest configuration revision in force on any router,
// or 0 if a router's state can't be read.
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

// checkState prints the first router's state and checks that it counted no
// violation of an invariant.
func (d *demo) checkState(context.Context) error {
	var state map[string]any
	if err := d.getJSON("http://"+d.plan.Routers[0].OperationsAddress+"/debug/state", &state); err != nil {
		return errors.Trace(err)
	}
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	d.printf("state of %s:\n%s", d.plan.Routers[0].ID, text)
	violations, _ := state["invariant-violations"].(map[string]any)
	for name, count := range violations {
		if count != float64(0) {
			return errors.Errorf("invariant %s was violated %v times", name, count)
		}
	}
	return nil
}
