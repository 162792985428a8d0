package qlfleet

import (
	"testing"
	"time"
)

func TestEchoMeasuresReadDelay(t *testing.T) {
	const ms = time.Millisecond
	var e echo
	if !e.startIfDue(200 * ms) {
		t.Fatal("the first datagram is not due")
	}
	if e.startIfDue(400 * ms) {
		t.Error("a datagram is due while another is in flight")
	}
	if got, want := e.lag(450*ms), 250*ms; got != want {
		t.Errorf("lag while a datagram is in flight: got %v, want %v", got, want)
	}
	e.finish(500*ms, 100*ms)
	if got, want := e.lag(510*ms), 310*ms; got != want {
		t.Errorf("lag after the return of a datagram that was given up: got %v, want %v", got, want)
	}
	e.finish(520*ms, 200*ms)
	if got, want := e.lag(530*ms), 320*ms; got != want {
		t.Errorf("lag after the return of the datagram: got %v, want %v", got, want)
	}
	if !e.startIfDue(600 * ms) {
		t.Error("the next datagram is not due")
	}
	e.finish(601*ms, 600*ms)
	if got, want := e.lag(650*ms), ms; got != want {
		t.Errorf("lag after the return of the next datagram: got %v, want %v", got, want)
	}
	if !e.startIfDue(700 * ms) {
		t.Error("the third datagram is not due")
	}
	if !e.startIfDue(1700 * ms) {
		t.Error("no datagram is due after the loss of the third")
	}
}
