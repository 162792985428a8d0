package qloffload

import (
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestRoutersAreOfferedNoMoreThanTheirRoom guards against requests that hot routers send to each
// other, and decline.
func TestRoutersAreOfferedNoMoreThanTheirRoom(t *testing.T) {
	const (
		seconds = 4
		rate    = 1000
	)
	random := rand.New(rand.NewPCG(3, 4))
	p := NewPeers()
	p.Set(0, []Peer{NewPeer("full", 1000), NewPeer("some", 1000), NewPeer("more", 1000)})
	p.SetRoom(0, "full", 0)
	p.SetRoom(0, "some", 20)
	p.SetRoom(0, "more", 60)
	counts := make(map[string]int)
	none := 0
	for i := range seconds * rate {
		now := time.Duration(i) * time.Second / rate
		address, ok := p.Choose(now, random.Float64())
		if !ok {
			none++
			if got := p.reason(now); got != NoRoom {
				t.Fatalf("got reason %s, want %s", got, NoRoom)
			}
			continue
		}
		counts[address]++
	}
	for address, want := range map[string]int{"full": 0, "some": 20 * seconds, "more": 60 * seconds} {
		if got := counts[address]; got < want*9/10 || got > want+want/(10*seconds)*2+2 {
			t.Errorf("requests for the router with room %q: got %d, want about %d", address, got, want)
		}
	}
	if none == 0 {
		t.Error("each request found a router with room")
	}
	end := seconds * time.Second
	p.SetRoom(end, "full", 500)
	p.SetRoom(end, "some", 0)
	p.SetRoom(end, "more", 0)
	if address, ok := p.Choose(end+100*time.Millisecond, 0.5); address != "full" {
		t.Errorf("got %q, %v, want the router that has room by now", address, ok)
	}
	p.forgetRoom("more")
	if ok, reason := p.Offers(end); !ok {
		t.Errorf("a router that has told nothing takes none: %s", reason)
	}
}

// awaitReady waits up to 2 s until the offloader is ready, or not.
func (f *testFleet) awaitReady(want bool, wantReason Reason) {
	f.t.Helper()
	var ready bool
	var reason Reason
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ready, reason = f.offloader.Ready(); ready == want && (want || reason == wantReason) {
			return
		}
	}
	f.t.Fatalf("got ready %v, reason %s, want %v, %s", ready, reason, want, wantReason)
}

// TestRoomIsToldOnOpenLinks guards against requests for a router that has told that it takes
// none, and against a router that is forgotten after that.
func TestRoomIsToldOnOpenLinks(t *testing.T) {
	f := newTestFleet(t)
	f.start(get("/plain"))
	f.server.SetRoom(time.Second, 0)
	f.awaitReady(false, NoRoom)
	if exchange := f.offloader.Start([]byte(get("/plain")), Stamp{}, Caller{}); exchange != nil {
		t.Error("a request was offloaded to a router without room")
	}
	if got := f.offloader.Stats().Kept[NoRoom]; got != 1 {
		t.Errorf("requests kept for want of room: got %d, want 1", got)
	}
	f.server.SetRoom(2*time.Second, 400)
	f.awaitReady(true, 0)
	f.start(get("/plain"))
	f.server.SetRoom(3*time.Second, 0)
	f.awaitReady(false, NoRoom)
	f.offloader.Close()
	f.awaitReady(true, 0)
	// A new link tells the room once more.
	f.offloader.Start([]byte(get("/plain")), Stamp{}, Caller{})
	f.awaitReady(false, NoRoom)
}

// TestRoomIsDividedBetweenRoutersThatOffload guards against a rush of several routers to the
// one that has room.
func TestRoomIsDividedBetweenRoutersThatOffload(t *testing.T) {
	s := NewServer(ServerConfig{
		Log: zap.NewNop(),
	})
	var links []*serverLink
	for _, host := range []string{"a", "a", "b", "idle"} {
		conn, _ := newTestPair(t)
		queue, err := newSendQueue(conn, func() {})
		if err != nil {
			t.Fatal(err)
		}
		l := &serverLink{
			server: s,
			host:   host,
			queue:  queue,
		}
		l.offered.Store(host != "idle")
		s.links[l] = true
		links = append(links, l)
	}
	expect := func(now time.Duration, room float64, want uint32) {
		t.Helper()
		s.SetRoom(now, room)
		for _, l := range links {
			if l.toldRoom != want {
				t.Errorf("router %s at a room of %v: got %d, want %d", l.host, room, l.toldRoom, want)
			}
		}
	}
	expect(_offerTime, 300, 150)
	// A small change is not told.
	expect(_offerTime, 310, 150)
	expect(_offerTime, 0, 0)
	expect(_offerTime, 4, 2)
	// Nobody has offloaded of late.
	expect(2*_offerTime+1, 300, 300)
}

// TestRoomFollowsLag guards against a router that has room beside its own refusals, and one
// that takes none although it could.
func TestRoomFollowsLag(t *testing.T) {
	b := NewBudget(0.4)
	most := b.Room()
	for range 100 {
		b.RecordLag(_targetLag + time.Millisecond)
	}
	if got := b.Room(); got != most {
		t.Errorf("with a little lag: got room %v, want %v", got, most)
	}
	b.RecordLag(_roomTargetLag + time.Millisecond)
	if got := b.Room(); got >= most {
		t.Errorf("with lag: got room %v, want less than %v", got, most)
	}
	for range 100 {
		b.RecordLag(0)
	}
	if got := b.Room(); got != most {
		t.Errorf("after the lag: got room %v, want %v", got, most)
	}
}

// TestFrameOfRoomIsChecked guards against a router that reads beyond a short frame.
func TestFrameOfRoomIsChecked(t *testing.T) {
	if got, err := splitRoom(append(roomPayload(70000), 1, 2)); err != nil || got != 70000 {
		t.Errorf("got %d, error %v, want 70000", got, err)
	}
	if got, err := splitRoom([]byte{1, 2, 3}); err == nil {
		t.Errorf("a payload of 3 bytes: got %d, want an error", got)
	}
}

// TestHostIsThatOfAllLinksOfARouter guards against one router that counts for several.
func TestHostIsThatOfAllLinksOfARouter(t *testing.T) {
	conn, _ := newTestPair(t)
	if got := hostOf(conn); net.ParseIP(got) == nil || strings.Contains(got, ":") {
		t.Errorf("got host %q, want an address without a port", got)
	}
}

// TestRoomOfClosedLinkIsNotKept guards against a router that is not asked again, since its last
// word on a link came after that was closed, and no other link is left to correct it.
func TestRoomOfClosedLinkIsNotKept(t *testing.T) {
	f := newTestFleet(t)
	f.start(get("/plain"))
	links := f.offloader.openLinks()
	if got, want := len(links), 1; got != want {
		t.Fatalf("got %d links, want %d", got, want)
	}
	f.offloader.Close()
	if err := links[0].receive(frameRoom, 0, roomPayload(0)); err != nil {
		t.Fatal(err)
	}
	if ready, reason := f.offloader.Ready(); !ready {
		t.Errorf("got not ready, %s, want ready", reason)
	}
}
