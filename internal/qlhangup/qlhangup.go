// Package qlhangup catches SIGHUP from the first moment of a process.
//
// A process that has not said what it does with the signal is ended by it. The
// soak's seed 300 sent one while a router started, between the start of the
// program and the line that asked for the signal. Importing this package is
// enough for the signal not to end the process; one that came early is kept.
//
// # Usage
//
//	for range qlhangup.Signals() { reload() }
package qlhangup

import (
	"os"
	"os/signal"
	"syscall"
)

// _signals holds one: several mean no more.
var _signals = make(chan os.Signal, 1)

// Only an initializer runs before all of main, and before most of what main
// imports.
func init() {
	signal.Notify(_signals, syscall.SIGHUP)
}

// Signals returns the channel of those that came.
func Signals() <-chan os.Signal {
	return _signals
}
