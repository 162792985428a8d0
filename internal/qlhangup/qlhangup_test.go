package qlhangup

import (
	"syscall"
	"testing"
	"time"
)

// TestEarlySignalIsDelivered checks that a signal sent before anything reads the
// channel does not end the process and is delivered later.
func TestEarlySignalIsDelivered(t *testing.T) {
	for range 3 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case got := <-Signals():
		if got != syscall.SIGHUP {
			t.Errorf("signal: got %v, want %v", got, syscall.SIGHUP)
		}
	case <-time.After(time.Second):
		t.Error("no signal was delivered within 1 s")
	}
}
