package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const _hangupSettings = `{
  "id": "r1", "zone": "z1",
  "caller-address": "127.0.0.1:%d", "ready-address": "127.0.0.1:%d",
  "operations-address": "127.0.0.1:%d", "peer-address": "127.0.0.1:%d", "offload-address": "127.0.0.1:%d",
  "seeds": [], "store": "127.0.0.1:1",
  "memory-mb": 128, "descriptors": 1024, "processors": 1, "processor-part": 1,
  "stop-deadline": "3s", "balancer-notice": "400ms",
  "retry-ratio": 0.2, "retry-window": "10s", "retry-allowance": 50,
  "placement": "owner", "log-level": "info"
}`

// startEdgeIgnoringHangup starts a router as a supervisor that ignores SIGHUP does.
func startEdgeIgnoringHangup(t *testing.T, settings string, log *lockedBuffer) *exec.Cmd {
	t.Helper()
	command := exec.Command(_binary, "edge", "--settings", settings)
	command.Stdout, command.Stderr = log, log
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return command
}

// TestHangupRightAfterStartEndsNoRouter guards against a router that a reload ends since
// its handler is not installed yet.
func TestHangupRightAfterStartEndsNoRouter(t *testing.T) {
	for range 20 {
		log := &lockedBuffer{}
		command := startEdgeIgnoringHangup(t, filepath.Join(t.TempDir(), "missing.json"), log)
		_ = command.Process.Signal(syscall.SIGHUP)
		_ = command.Wait()
		if got, want := command.ProcessState.ExitCode(), 1; got != want {
			t.Fatalf("exit: got %v, want status %d for missing settings; log %q", command.ProcessState, want, log.String())
		}
	}
}

// TestRouterStartedWithoutHangupReloads checks that a router whose supervisor ignores
// SIGHUP still reloads on it.
func TestRouterStartedWithoutHangupReloads(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "r1.json")
	ports := make([]any, 5)
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
	}
	if err := os.WriteFile(settings, fmt.Appendf(nil, _hangupSettings, ports...), 0o600); err != nil {
		t.Fatal(err)
	}
	log := &lockedBuffer{}
	command := startEdgeIgnoringHangup(t, settings, log)
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	waitForLog := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s not seen; log %q", what, log.String())
			}
		}
	}
	waitForLog("the start", func() bool {
		conn, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", ports[1]))
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	if err := os.WriteFile(settings, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitForLog("the reload", func() bool { return strings.Contains(log.String(), "settings-refused") })
}

// TestHangupHandlerComesFirst checks that the handler is installed before this project's
// and all large packages, for supervisors that do not ignore SIGHUP.
func TestHangupHandlerComesFirst(t *testing.T) {
	command := exec.Command(_binary, "--help")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := command.CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(out) {
		fields := strings.Fields(string(line))
		if len(fields) < 2 || fields[0] != "init" {
			continue
		}
		switch name := fields[1]; {
		case strings.HasSuffix(name, "/internal/qlhangup"):
			return
		case strings.Contains(name, "quetzallane") || strings.Contains(name, "protobuf"):
			t.Fatalf("%s is initialized before qlhangup", name)
		}
	}
	t.Error("qlhangup is not initialized")
}
