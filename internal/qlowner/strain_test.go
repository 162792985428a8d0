package qlowner

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"google.golang.org/protobuf/proto"
)

// TestStrainedOwnerIsKnownAndKept guards against an owner that decides questions whose routers
// no longer wait, and against routers that take one which drops them for lost.
func TestStrainedOwnerIsKnownAndKept(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	core := n.cores[asker]
	turned := false
	n.onOwnerChange = func(_ int, from, _ string) { turned = turned || from != "" }
	decidedBefore := n.cores[owner].Stats().DecidedForOthers
	n.lag = func(router int) time.Duration {
		if router == owner {
			return 2 * _maxQuestionWait
		}
		return 0
	}
	const questions = 40
	for request := range uint64(questions) {
		n.ask(asker, request+1)
		n.advance(25 * time.Millisecond)
	}
	n.advance(100 * time.Millisecond)
	stats := n.cores[owner].Stats()
	if got := stats.QuestionsDropped; got != questions {
		t.Errorf("questions dropped: got %d, want %d", got, questions)
	}
	if got := stats.DecidedForOthers - decidedBefore; got != 0 {
		t.Errorf("questions decided after their routers had: got %d, want 0", got)
	}
	if !core.OwnerStrained(n.now) {
		t.Error("the router does not know that its owner is strained")
	}
	if turned {
		t.Error("a router turned from an owner that is strained")
	}
	if got := len(n.decisions[n.ids[asker]]); got != questions {
		t.Errorf("requests with a decision: got %d, want %d", got, questions)
	}
	n.lag = nil
	n.advance(100 * time.Millisecond)
	n.ask(asker, questions+1)
	n.advance(_strainHold + 20*time.Millisecond)
	n.ask(asker, questions+2)
	n.advance(20 * time.Millisecond)
	if core.OwnerStrained(n.now) {
		t.Error("the router takes its owner for strained after the strain")
	}
	if got, want := n.decisions[n.ids[asker]][questions+2].Decider, n.ids[owner]; got != want {
		t.Errorf("decided after the strain by %q, want %q", got, want)
	}
}

// loseMembership loses the packets about membership from one router to another, which show that
// the router lives.
func (n *network) loseMembership(from, to int) {
	n.deliver = func(d datagram) {
		packet := &qlfleetwire.Packet{}
		if err := proto.Unmarshal(d.packet, packet); err != nil {
			n.t.Fatal(err)
		}
		if d.from != from || d.to != to || packet.Membership == nil && packet.Introduction == nil {
			n.receive(d)
		}
	}
}

// turnsFromStalledOwner has a router ask a strained owner every 10 ms. The owner drops the
// questions for 500 ms and the phase, and then handles nothing for the span. It returns whether
// the router turned to another owner.
func turnsFromStalledOwner(t *testing.T, span, phase time.Duration) (turned bool) {
	t.Helper()
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	n.onOwnerChange = func(_ int, from, _ string) { turned = turned || from != "" }
	n.loseMembership(owner, asker)
	const lag = 2 * _maxQuestionWait
	stallAt := n.now + 500*time.Millisecond + phase
	n.lag = func(router int) time.Duration {
		if router != owner {
			return 0
		}
		if at := n.now + _networkDelay + lag; at >= stallAt && at < stallAt+span {
			return stallAt + span - n.now - _networkDelay
		}
		return lag
	}
	request := uint64(0)
	for end := stallAt + span; n.now < end; {
		request++
		n.ask(asker, request)
		n.advance(10 * time.Millisecond)
	}
	return turned
}

// TestStrainedOwnerIsKeptInStall guards against an owner that is taken for silent since it told
// nothing of the last questions that it dropped.
func TestStrainedOwnerIsKeptInStall(t *testing.T) {
	const stall = _silenceLimit - 20*time.Millisecond
	for phase := time.Duration(0); phase < 100*time.Millisecond; phase += 10 * time.Millisecond {
		if turnsFromStalledOwner(t, stall, phase) {
			t.Errorf("phase %v: the router turned from an owner that handled nothing for %v, want so after %v at the earliest", phase, stall, _silenceLimit)
		}
	}
}

// TestStrainedOwnerIsKeptByRareQuestions guards against routers that take a pause between their
// questions for the silence of an owner that had nothing to answer.
func TestStrainedOwnerIsKeptByRareQuestions(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	n.lag = func(router int) time.Duration {
		if router == owner {
			return 2 * _maxQuestionWait
		}
		return 0
	}
	n.loseMembership(owner, asker)
	n.onOwnerChange = func(router int, from, _ string) {
		if from != "" {
			t.Errorf("router %d turned at %v from the owner, which tells of each question", router, n.now)
		}
	}
	for request := range uint64(5) {
		n.ask(asker, 2*request)
		n.advance(_answerTimeout + 5*time.Millisecond)
		n.ask(asker, 2*request+1)
		n.advance(2 * _silenceLimit)
	}
}

// TestDroppedQuestionsAreDemand guards against shares that leave out what an owner has dropped.
func TestDroppedQuestionsAreDemand(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	n.lag = func(int) time.Duration { return 2 * _maxQuestionWait }
	n.ask((owner+1)%3, 1)
	n.advance(200 * time.Millisecond)
	shares := n.cores[owner].Placer().Shares()[0].State()
	if len(shares) != 1 || shares[0].Demand != 1100 {
		t.Errorf("shares: got %+v, want a demand of 1100 tokens of one customer", shares)
	}
}

// TestLaggingOwnerIsStrained guards against an owner whose processor is taken by its own callers
// and that is asked as much as before.
func TestLaggingOwnerIsStrained(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	for _, lag := range []time.Duration{_laggingThreshold, _laggingThreshold + time.Millisecond} {
		n.cores[owner].SetLag(lag)
		n.ask(asker, uint64(lag))
		n.advance(20 * time.Millisecond)
		if got, want := n.cores[asker].OwnerStrained(n.now), lag > _laggingThreshold; got != want {
			t.Errorf("lag %v: strained: got %v, want %v", lag, got, want)
		}
	}
}
