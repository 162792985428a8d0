// Command review-standin runs the cases of an independent review: it starts routers as the
// deploy file does, with stand-ins for clients, replicas and the platform on loopback.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	run, ok := map[string]func(folder string) int{
		"early":    runEarly,
		"accept":   runAccept,
		"memory":   runMemory,
		"cutoff":   runCutoff,
		"frozen":   runFrozen,
		"replicas": runReplicas,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[2]))
}
