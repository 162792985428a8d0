package qlengine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSpeedIsLearned observes engines that are a tenth to ten times as fast as the
// initial speed, with noise and with some requests that were held up.
func TestSpeedIsLearned(t *testing.T) {
	for _, c := range []struct {
		name         string
		tokenPrefill time.Duration
		latency      time.Duration
	}{
		{name: "fast", tokenPrefill: time.Microsecond, latency: 10 * time.Millisecond},
		{name: "usual", tokenPrefill: 10 * time.Microsecond, latency: 70 * time.Millisecond},
		{name: "slow prefill", tokenPrefill: 25 * time.Microsecond, latency: 50 * time.Millisecond},
		{name: "slow", tokenPrefill: 100 * time.Microsecond, latency: 300 * time.Millisecond},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		speed := NewSpeed()
		const decode = 70 * time.Millisecond
		for i := range 2000 {
			tokens := 100 + random.IntN(6000)
			took := float64(c.latency) + float64(tokens)*float64(c.tokenPrefill)
			took *= 0.9 + 0.2*random.Float64()
			if i%50 == 0 {
				took += float64(2 * time.Second)
			}
			speed.Observe(time.Duration(i)*10*time.Millisecond, tokens, decode, time.Duration(took))
		}
		for _, tokens := range []int{0, 500, 5000} {
			got := speed.PrefillTime(tokens) + time.Duration(float64(decode)*speed.LatencyScale())
			want := c.latency + time.Duration(tokens)*c.tokenPrefill
			if ratio := float64(got) / float64(want); ratio < 0.75 || ratio > 1.35 {
				t.Errorf("%s: time to the first event with %d tokens: got %v, want %v within a third", c.name, tokens, got, want)
			}
		}
	}
}

// TestSpeedExpires guards against engines that are never used again because a speed
// that is far too low was learned.
func TestSpeedExpires(t *testing.T) {
	speed := NewSpeed()
	for i := range 200 {
		speed.Observe(time.Second, 100+i, 70*time.Millisecond, time.Minute)
	}
	if speed.TokenPrefill() == NewSpeed().TokenPrefill() && speed.LatencyScale() == 1 {
		t.Fatal("nothing was learned")
	}
	speed.Expire(time.Second + _speedTTL/2)
	if speed.LatencyScale() == 1 {
		t.Error("the speed expired too early")
	}
	speed.Expire(2*time.Second + _speedTTL)
	if got, want := speed.LatencyScale(), 1.0; got != want {
		t.Errorf("latency scale without observations: got %v, want %v", got, want)
	}
}

// TestSimilarPromptsKeepTheInitialPrefillTime observes prompts of one size, which do
// not show how much of the time is prefill.
func TestSimilarPromptsKeepTheInitialPrefillTime(t *testing.T) {
	speed := NewSpeed()
	for range 500 {
		speed.Observe(0, 2000, 70*time.Millisecond, 400*time.Millisecond)
	}
	if got, want := speed.TokenPrefill(), NewSpeed().TokenPrefill(); got != want {
		t.Errorf("prefill time of a token: got %v, want %v", got, want)
	}
}

// TestSpeedIgnoresGapsWithLateReports has a busy engine prefill prompts of which three of
// four are of a router that reports its first events late, without their times. Counted as
// one prompt's, the time between two known first events makes the engine look slow.
func TestSpeedIgnoresGapsWithLateReports(t *testing.T) {
	const (
		tokens      = 2000
		prefill     = tokens * _tokenPrefillTime
		reportDelay = 100 * time.Millisecond
		waiting     = 6
		requests    = 1200
	)
	e := newEngine()
	e.speed = NewSpeed()
	place := func(now time.Duration, request uint64) {
		e.Place(now, key(request), &Prompt{
			Tokens:          tokens,
			MaxOutputTokens: 1,
		})
	}
	for request := range uint64(waiting) {
		place(0, request)
	}
	late := map[time.Duration]uint64{}
	for request := range uint64(requests) {
		now := time.Duration(request+1) * prefill
		if request%4 != 0 {
			late[now+reportDelay] = request
		} else {
			e.LearnSpeed(now, key(request))
			e.FirstEvent(now, key(request))
			e.End(now, key(request), Completed)
		}
		if reported, ok := late[now]; ok {
			e.FirstEventUntimed(now, key(reported))
			e.End(now, key(reported), Completed)
		}
		place(now, request+waiting)
	}
	if got, want := e.speed.TokenPrefill(), _tokenPrefillTime; got > 2*want {
		t.Errorf("prefill time of a token: got %v, want %v", got, want)
	}
}
