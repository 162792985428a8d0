// Package qlhangup catches SIGHUP, which asks a router to reload its settings,
// from the initialization of the process on.
//
// SIGHUP terminates a process that has no handler for it. A signal that is sent
// while a router starts, before main installs a handler, would therefore end the
// router. This package installs the handler in an init function, so importing it
// suffices, and keeps an early signal until the channel is read.
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

// _signals has room for one signal, since several pending signals ask for the
// same single reload.
var _signals = make(chan os.Signal, 1)

// The handler is installed in init, which runs before main and before the
// initialization of most other packages that main imports.
func init() {
	signal.Notify(_signals, syscall.SIGHUP)
}

// Signals returns the channel on which received signals are delivered. Signals
// that arrive while one is pending are merged with it.
func Signals() <-chan os.Signal {
	return _signals
}
