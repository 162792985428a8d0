package qloffload

import (
	"testing"
	"time"
)

// _checkInterval is the time between the checks of these tests.
const _checkInterval = 50 * time.Millisecond

// silentAfter runs checks while a request waits and nothing comes, from a time on, and returns
// after how long the other router is found silent, or 0 if it is not within a second. pause is
// for how long this process does not run after the first ping.
func silentAfter(d *silenceDetector, from, pause time.Duration) time.Duration {
	for now := from; now <= from+time.Second; now += _checkInterval {
		ping, silent := d.check(now, true)
		if silent {
			return now - from
		}
		if ping {
			now += pause
		}
	}
	return 0
}

// TestSilenceIsFoundSoon guards against a router that goes on to pass requests on to one that is
// frozen, until the fleet takes that one for dead.
func TestSilenceIsFoundSoon(t *testing.T) {
	d := &silenceDetector{}
	d.answersPings.Store(true)
	d.check(10*time.Second, false)
	if got, want := silentAfter(d, 10*time.Second+_checkInterval, 0), _pingAfter+_silentAfter; got == 0 || got > want+_checkInterval {
		t.Errorf("a frozen router: got silent after %v, want %v", got, want)
	}
	d.heard.Add(1)
	if _, silent := d.check(20*time.Second, true); silent {
		t.Error("a router that has sent something is silent")
	}
}

// TestNoFalseSilence guards against routers that are not asked though they run.
func TestNoFalseSilence(t *testing.T) {
	old := &silenceDetector{}
	if got := silentAfter(old, _checkInterval, 0); got != 0 {
		t.Errorf("a router that answers no pings: got silent after %v", got)
	}
	// The answers that came while this process did not run are read after the first check.
	late := &silenceDetector{}
	late.answersPings.Store(true)
	late.check(0, true)
	late.check(_checkInterval, true)
	late.check(2*_checkInterval, true)
	if _, silent := late.check(5*time.Second, true); silent {
		t.Error("a router is silent since this process was frozen")
	}
	idle := &silenceDetector{}
	idle.answersPings.Store(true)
	for now := _checkInterval; now < 2*time.Second; now += _checkInterval {
		if ping, silent := idle.check(now, false); ping || silent {
			t.Errorf("without requests: got ping %v, silent %v", ping, silent)
		}
	}
	answering := &silenceDetector{}
	answering.answersPings.Store(true)
	for now := _checkInterval; now < 2*time.Second; now += _checkInterval {
		ping, silent := answering.check(now, true)
		if silent {
			t.Error("a router that answers pings is silent")
		}
		if ping {
			answering.heard.Add(1)
		}
	}
}

// TestDelayOnLinkIsMeasured guards against requests that have waited in a socket and count as
// new.
func TestDelayOnLinkIsMeasured(t *testing.T) {
	const path = 4 * time.Millisecond
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		var m delayMeter
		// The clocks drift by 100 parts in a million.
		for sent := time.Duration(0); sent < 5*time.Minute; sent += 100 * time.Millisecond {
			wait := time.Duration(0)
			if sent%(7*time.Second) == 0 && sent > 0 {
				wait = 4 * time.Second
			}
			got := m.observe(sent+sent/10000+offset+path+wait, sent)
			if got < wait-time.Millisecond || got > wait+10*time.Millisecond {
				t.Fatalf("offset %v, sent at %v: got %v, want %v", offset, sent, got, wait)
			}
		}
	}
}
