package qlhangup

import (
	"syscall"
	"testing"
	"time"
)

func TestSignalIsKept(t *testing.T) {
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
		t.Error("no signal came")
	}
}
