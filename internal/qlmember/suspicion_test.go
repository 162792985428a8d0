package qlmember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// TestSuspicionOfLaterIncarnationStartsAnew guards against a member that is declared dead by the
// time of a suspicion that it has refuted, since only a later suspicion tells of that.
func TestSuspicionOfLaterIncarnationStartsAnew(t *testing.T) {
	m := New(Config{
		Self:         "r1",
		Random:       rand.New(rand.NewPCG(1, 1)),
		Send:         func(string, *qlwire.Message) {},
		Digest:       func() *qlwire.Digest { return &qlwire.Digest{} },
		OnDigest:     func(string, *qlwire.Digest) {},
		OnLiveChange: func() {},
		OnMemberGone: func(string) {},
	})
	m.SetList(0, 1, []ListedRouter{{ID: "r2"}, {ID: "r3"}})
	suspect := func(now time.Duration, incarnation uint64) {
		m.ReceiveProbe(now, "r2", &qlwire.Probe{
			Digest: &qlwire.Digest{
				Updates: []*qlwire.MemberUpdate{
					{
						Id:          "r3",
						Incarnation: incarnation,
						State:       uint32(Suspect),
					},
				},
			},
		})
	}
	const later = DefaultSuspicionTimeout - time.Millisecond
	suspect(0, 1)
	suspect(later, 2)
	for _, c := range []struct {
		now  time.Duration
		want bool
	}{
		{now: DefaultSuspicionTimeout, want: false},
		{now: later + DefaultSuspicionTimeout - time.Millisecond, want: false},
		{now: later + DefaultSuspicionTimeout, want: true},
	} {
		m.expireSuspects(c.now)
		if got := m.IsDead("r3"); got != c.want {
			t.Errorf("dead %v after the first suspicion, %v after that of the later incarnation: got %v, want %v", c.now, c.now-later, got, c.want)
		}
	}
}
