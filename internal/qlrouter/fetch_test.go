package qlrouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// partWithLimit returns a configuration part with 90 customers, one of which
// has the given limit instead of the usual 64.
func partWithLimit(customLimit int) []byte {
	text := `{"templates":{"t":{"parameters":["max-in-flight"]}},"customers":{`
	for i := range 90 {
		limit := 64
		if i == 40 {
			limit = customLimit
		}
		text += fmt.Sprintf(`"customer-%d":{"template":"t","key-hashes":["%s"],"parameters":{"max-in-flight":%d}},`, i, qlconfig.HashKey(fmt.Sprint(i)), limit)
	}
	return append([]byte(text[:len(text)-1]), "}}"...)
}

func configurationOf(t *testing.T, previous *qlconfig.Configuration, revision uint64, part []byte) *qlconfig.Configuration {
	t.Helper()
	index := qlconfig.NewIndex(revision, [][]byte{part})
	built, err := qlconfig.Builder{
		Previous: previous,
	}.Build(index, map[string][]byte{index.Parts[0]: part})
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// TestRoutersThatDoNotWatchPollRarely guards against a router that calls the platform's
// service each second because its reads find nothing new.
func TestRoutersThatDoNotWatchPollRarely(t *testing.T) {
	for _, c := range []struct {
		name      string
		ready     bool
		isWatcher bool
		err       error
		wait      time.Duration
		want      time.Duration
	}{
		{name: "nothing new", ready: true, err: errOlderRevision, want: _pollPeriod},
		{name: "a newer value", ready: true, want: _pollPeriod},
		{name: "a failure", ready: true, err: errors.New("refused"), want: _retryPause},
		{name: "nothing new before it is ready", err: errOlderRevision, want: _retryPause},
		{name: "a watch that does not wait", ready: true, isWatcher: true, err: errOlderRevision, wait: _watchTimeout, want: _retryPause},
	} {
		router := New(Config{
			Settings: &qlsetting.Router{
				ID:   "r1",
				Zone: "z1",
			},
			Log: zap.NewNop(),
		})
		router.ready.Store(c.ready)
		router.isWatcher.Store(c.isWatcher)
		if got := router.readPause(c.err, c.wait); got < c.want/2 || got > c.want*3/2 {
			t.Errorf("%s: got a pause of %v, want %v or half of it more or less", c.name, got, c.want)
		}
	}
}

// TestFetchSendsOnlyTheDifference raises one customer's limit. A peer that has
// the previous revision must receive only a few bytes; one that has none must
// receive the whole part.
func TestFetchSendsOnlyTheDifference(t *testing.T) {
	first := configurationOf(t, nil, 1, partWithLimit(64))
	second := configurationOf(t, first, 2, partWithLimit(70))
	r := &Router{
		history: &history{},
	}
	r.history.add(nil, first)
	r.history.add(first, second)
	r.snapshot.Store(second)
	for _, test := range []struct {
		name     string
		current  *qlconfig.Configuration
		maxBytes int
	}{
		{name: "behind by one", current: first, maxBytes: 128},
		{name: "empty", current: nil, maxBytes: 20000},
	} {
		request := &qlwire.FetchRequest{}
		if test.current != nil {
			request.ConfigurationRevision = test.current.Revision()
		}
		snapshot := r.snapshotFor(request)
		t.Logf("%s: %d bytes for a part of %d", test.name, proto.Size(snapshot), len(partWithLimit(70)))
		if got := proto.Size(snapshot); got > test.maxBytes {
			t.Errorf("%s: got %d bytes, want at most %d", test.name, got, test.maxBytes)
		}
		index, err := applyIndexDifference(test.current, snapshot)
		if err != nil {
			t.Fatal(err)
		}
		parts, err := applyPartDeltas(test.current, snapshot.GetParts())
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(parts[index.Parts[0]]), string(partWithLimit(70)); got != want {
			t.Errorf("%s: the part differs from the one in force", test.name)
		}
	}
}

// TestDeltaToUnknownPartIsRefused applies a difference to a part that this
// router does not have. It must be refused; a later fetch gets the whole part.
func TestDeltaToUnknownPartIsRefused(t *testing.T) {
	_, err := applyPartDeltas(nil, []*qlwire.PartDelta{
		{
			Base:   []byte("another"),
			Prefix: 10,
			Suffix: 10,
		},
	})
	if err == nil {
		t.Error("got no error, want one")
	}
}
