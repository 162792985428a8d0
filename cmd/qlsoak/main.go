// Command qlsoak runs real routers as separate processes on loopback, with
// stand-ins for the platform's store and upstreams, injects faults from
// outside, and checks the routers' guarantees by what callers and upstreams see.
//
// Each seed is a separate run. A seed divisible by 3 runs planned work only
// (stops, reloads, new configurations, draining upstreams), during which every
// request must be answered. Other seeds run all faults. A seed reproduces the
// random schedule of faults, but not the timing of processes and requests.
//
// # Usage
//
//	go build -o target/ ./cmd/quetzallaned ./cmd/qlsoak
//	target/qlsoak --router target/quetzallaned --seeds 50
//	target/qlsoak --router target/quetzallaned --first 17 --seeds 1 --routers 100
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func main() {
	// Routers inherit this, as OPERATIONS recommends to supervisors: until a router has
	// installed its handler, SIGHUP would end it.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "qlsoak:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var options options
	var first, seeds uint64
	command := &cobra.Command{
		Use:           "qlsoak --router PROGRAM",
		Short:         "Run routers under faults and check their guarantees",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+seeds && command.Context().Err() == nil; seed++ {
				report, err := soak(command.Context(), options, seed)
				if err != nil {
					return errors.Annotatef(err, "seed %d", seed)
				}
				_, _ = fmt.Fprint(command.OutOrStdout(), report)
				if report.failed() {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d seeds failed", failed)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.program, "router", "", "path of the router's program, quetzallaned")
	flags.IntVar(&options.routers, "routers", 5, "number of routers")
	flags.IntVar(&options.callers, "callers", 24, "number of callers")
	flags.DurationVar(&options.injectionTime, "length", 10*time.Second, "how long faults are injected")
	flags.StringVar(&options.logDirectory, "logs", "", "directory in which all routers' logs are kept; by default, those of failed seeds are kept in a temporary directory")
	flags.Uint64Var(&first, "first", 1, "first seed")
	flags.Uint64Var(&seeds, "seeds", 1, "number of seeds")
	_ = command.MarkFlagRequired("router")
	return command
}
