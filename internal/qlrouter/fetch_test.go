package qlrouter

import (
	"fmt"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"google.golang.org/protobuf/proto"
)

// partOf is a part of 90 customers, one with a bound of its own.
func partOf(bound int) []byte {
	text := `{"templates":{"t":{"parameters":["max-in-flight"]}},"customers":{`
	for i := range 90 {
		limit := 64
		if i == 40 {
			limit = bound
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

// TestChangeIsFetchedAsADifference raises one customer's limit. A peer that
// holds the revision before needs a few bytes; one that holds none or an
// unknown one gets the part whole.
func TestChangeIsFetchedAsADifference(t *testing.T) {
	first := configurationOf(t, nil, 1, partOf(64))
	second := configurationOf(t, first, 2, partOf(70))
	r := &Router{
		history: &history{},
	}
	r.history.add(nil, first)
	r.history.add(first, second)
	r.snapshot.Store(second)
	for _, test := range []struct {
		name    string
		current *qlconfig.Configuration
		bytes   int
	}{
		{name: "behind by one", current: first, bytes: 128},
		{name: "empty", current: nil, bytes: 20000},
	} {
		request := &qlwire.FetchRequest{}
		if test.current != nil {
			request.ConfigurationRevision = test.current.Revision()
		}
		snapshot := r.answerFetch(request)
		t.Logf("%s: %d bytes for a part of %d", test.name, proto.Size(snapshot), len(partOf(70)))
		if got := proto.Size(snapshot); got > test.bytes {
			t.Errorf("%s: got %d bytes, want at most %d", test.name, got, test.bytes)
		}
		index, err := expandIndex(test.current, snapshot)
		if err != nil {
			t.Fatal(err)
		}
		parts, err := expandParts(test.current, snapshot.GetParts())
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(parts[index.Parts[0]]), string(partOf(70)); got != want {
			t.Errorf("%s: the part differs from the one in force", test.name)
		}
	}
}

// TestDifferenceToAPartNotHeld gives a peer's difference to a part that this
// router does not hold; it is refused, and a later fetch gets all.
func TestDifferenceToAPartNotHeld(t *testing.T) {
	_, err := expandParts(nil, []*qlwire.PartDelta{
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
