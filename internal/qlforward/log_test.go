package qlforward

import (
	"bytes"
	"expvar"
	"flag"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var _update = flag.Bool("update", false, "rewrite the golden files")

// _varying matches the parts of log lines that differ between runs.
var _varying = regexp.MustCompile(`(took|first-event|left|decided-in|predicted)=[0-9][^ ]*|127\.0\.0\.1:[0-9]+`)

// TestLogLines compares the log lines of requests with different results to
// golden files.
func TestLogLines(t *testing.T) {
	broken := func(net.Conn, *http.Request) {}
	whole := respond(200, "Signature: s\r\n", "ok")
	for _, c := range []struct {
		name      string
		path      string
		header    map[string]string
		upstreams []func(net.Conn, *http.Request)
	}{
		{name: "answered", path: "/order/x", upstreams: []func(net.Conn, *http.Request){whole}},
		{name: "no-route", path: "/none/x"},
		{name: "unknown-outcome", path: "/order/x", upstreams: []func(net.Conn, *http.Request){broken}},
		{name: "repeated", path: "/look/x", upstreams: []func(net.Conn, *http.Request){broken, broken}},
		{name: "refused-engine", path: "/chat/x", header: promptHeaders()},
		{name: "resumed-stream", path: "/resume/x", header: promptHeaders(), upstreams: []func(net.Conn, *http.Request){streamEvents(1, 2, false), streamEvents(2, 3, true)}},
		{name: "broken-stream", path: "/chat/x", header: promptHeaders(), upstreams: []func(net.Conn, *http.Request){streamEvents(1, 2, false)}},
	} {
		var got bytes.Buffer
		config := zap.NewProductionEncoderConfig()
		config.TimeKey, config.LevelKey, config.MessageKey = "", "", "event"
		config.EncodeDuration = zapcore.StringDurationEncoder
		core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(&got)), zapcore.InfoLevel)
		var upstreams []*fakeUpstream
		for i, reply := range c.upstreams {
			upstreams = append(upstreams, newFakeUpstream(t, string(rune('a'+i)), reply))
		}
		h := newHarness(t, upstreams...)
		h.forwarder.config.Log = zap.New(core)
		h.send(t, "POST", c.path, c.header, "body")
		h.server.Close()
		text := _varying.ReplaceAllString(got.String(), "${1}=~")
		path := filepath.Join("testdata", c.name+".golden")
		if *_update {
			if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if text != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, text, want)
		}
	}
}

func TestMetricsByKindAndService(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "x")))
	h.send(t, http.MethodPost, "/order/1", nil, "body")
	got := make(map[string]string)
	h.forwarder.Metrics().Do(func(name string, value expvar.Var) { got[name] = value.String() })
	for name, want := range map[string]string{
		"kinds":    `{"non-idempotent/answered": 1}`,
		"services": `{"plain/answered": 1}`,
	} {
		if got[name] != want {
			t.Errorf("%s: got %s, want %s", name, got[name], want)
		}
	}
	if whole := got["whole-answer-non-idempotent"]; !strings.Contains(whole, "1") {
		t.Errorf("durations of the kind: got %s, want one", whole)
	}
}

func TestEndsAreCountedByCustomerAndCode(t *testing.T) {
	h := newHarness(t)
	h.forwarder.config.Outcomes = qloutcome.New()
	h.forwarder.recordEnd(&exchange{
		customer: "acme",
	}, qlcode.QueueFull, http.StatusTooManyRequests)
	got := h.forwarder.config.Outcomes.Take(1).Rows()
	if len(got) != 1 || got[0].Customer != "acme" || !slices.Equal(got[0].Counts, []qloutcome.Count{{Name: "queue-full", Count: 1}}) {
		t.Errorf("got %+v, want one queue-full of acme", got)
	}
}
