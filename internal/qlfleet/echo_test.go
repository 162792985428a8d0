package qlfleet

import (
	"testing"
	"time"
)

func TestEchoMeasuresWaitingDatagrams(t *testing.T) {
	const ms = time.Millisecond
	var e echo
	if !e.begin(200 * ms) {
		t.Fatal("the first is not sent")
	}
	if e.begin(400 * ms) {
		t.Error("one is sent while another is out")
	}
	if got, want := e.lag(450*ms), 250*ms; got != want {
		t.Errorf("lag while one is out: got %v, want %v", got, want)
	}
	e.end(500*ms, 100*ms)
	if got, want := e.lag(510*ms), 310*ms; got != want {
		t.Errorf("lag after one that was given up came: got %v, want %v", got, want)
	}
	e.end(520*ms, 200*ms)
	if got, want := e.lag(530*ms), 320*ms; got != want {
		t.Errorf("lag after it came: got %v, want %v", got, want)
	}
	if !e.begin(600 * ms) {
		t.Error("the next is not sent")
	}
	e.end(601*ms, 600*ms)
	if got, want := e.lag(650*ms), ms; got != want {
		t.Errorf("lag of the next: got %v, want %v", got, want)
	}
	if !e.begin(700 * ms) {
		t.Error("the third is not sent")
	}
	if !e.begin(1700 * ms) {
		t.Error("a lost one is not made up for")
	}
}
