package qledge

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestReadiness(t *testing.T) {
	store := newFakeStore()
	store.down = true
	r := startEdge(t, "r1", store, nil)
	time.Sleep(_firstConfigurationWait + 200*time.Millisecond)
	if got, want := getStatus(t, r.ready, "/readyz"), 503; got != want {
		t.Errorf("without documents: got %d, want %d", got, want)
	}
	if got, want := getStatus(t, r.callers, "/x/"), 503; got != want {
		t.Errorf("a request without documents: got %d, want %d", got, want)
	}
	store.withLock(func() { store.down = false })
	r.awaitState(t, "1 u1")
	if got, want := getStatus(t, r.ready, "/readyz"), 200; got != want {
		t.Errorf("with documents: got %d, want %d", got, want)
	}
	if err := r.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
}

func TestStopAcceptsConnectionsDuringBalancerNotice(t *testing.T) {
	r := startEdge(t, "r1", newFakeStore(), func(settings *qlsetting.Edge) {
		settings.BalancerNotice = qljson.Duration(400 * time.Millisecond)
	})
	r.awaitState(t, "1 u1")
	stopped := make(chan error, 1)
	go func() { stopped <- r.stop() }()
	time.Sleep(100 * time.Millisecond)
	if got, want := getStatus(t, r.ready, "/readyz"), 503; got != want {
		t.Errorf("readiness while stopping: got %d, want %d", got, want)
	}
	if got, want := getStatus(t, r.callers, "/x/"), 404; got != want {
		t.Errorf("a request while stopping: got %d, want %d", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if got, want := getStatus(t, r.callers, "/x/"), 0; got != want {
		t.Errorf("a request after the stop: got %d, want no connection", got)
	}
}

func TestDumpsAreJSON(t *testing.T) {
	r := startEdge(t, "r1", newFakeStore(), nil)
	r.awaitState(t, "1 u1")
	for path, name := range map[string]string{"/debug/vars": "first-event", "/debug/state": "members"} {
		response, err := http.Get("http://" + r.operations + path)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string]any
		if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		_ = response.Body.Close()
		if _, ok := got[name]; !ok {
			t.Errorf("%s: got no %q", path, name)
		}
	}
}

func TestInvalidSeedsAreLogged(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	got := peerAddresses(&qlsetting.Edge{
		PeerAddress: "10.0.0.1:7400",
		Seeds:       []string{"10.0.0.2:8785", "no address", "10.0.0.3:8785"},
	}, zap.New(core))
	if want := []string{"10.0.0.2:7400", "10.0.0.3:7400"}; !slices.Equal(got, want) {
		t.Errorf("addresses: got %v, want %v", got, want)
	}
	if got, want := logs.FilterMessage("seed-invalid").Len(), 1; got != want {
		t.Errorf("lines about seeds: got %d, want %d", got, want)
	}
}
