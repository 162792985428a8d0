// Command standin2 holds the stand-ins of the second review: the platform's store, replicas,
// clients, and one scenario for each case. It starts the project's program as processes of
// their own.
//
// usage: standin2 SCENARIO RECORD   (from the repository root; TROUBLE=0 leaves the disruption out)
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var scenarios = map[string]func(*run){}

// run is one run of a scenario.
type run struct {
	trouble bool
	scratch string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
}

// logf writes a line to the record.
func (r *run) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, values ...any) {
	r.logf("BROKEN "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, values...))
}

var cleanup []func()

func exit(code int) {
	for _, f := range cleanup {
		f()
	}
	os.Exit(code)
}

func cannotRun(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", values...)
	exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		cannotRun("usage: standin2 SCENARIO RECORD")
	}
	record, err := os.Create(os.Args[2])
	must(err)
	scratch, err := os.MkdirTemp("", "standin2-")
	must(err)
	cleanup = append(cleanup, func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(scratch)
		}
	})
	r := &run{trouble: os.Getenv("TROUBLE") != "0", scratch: scratch, began: time.Now(), record: record}
	time.AfterFunc(115*time.Second, func() { cannotRun("not done after 115 s") })
	scenarios[os.Args[1]](r)
	code := 0
	if len(r.broken) > 0 {
		code = 1
	}
	r.logf("END broken %d times, exit %d", len(r.broken), code)
	fmt.Printf("%s trouble=%v: broken %d times, exit %d\n", os.Args[1], r.trouble, len(r.broken), code)
	exit(code)
}
