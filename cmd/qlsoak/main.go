// Command qlsoak runs real routers as separate processes on loopback, with
// stand-ins for the platform's store and upstreams, injects faults from
// outside, and checks what callers and upstreams see.
//
// Each seed is a run of its own. A run with a seed that three divides has only
// planned work: stops, reloads, changes of the configuration, upstreams that
// drain. The others have all faults. Runs repeat their schedule, not their
// timing.
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
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "qlsoak:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var plan plan
	var first, seeds uint64
	command := &cobra.Command{
		Use:           "qlsoak --router PROGRAM",
		Short:         "Run routers under faults and check what they promise",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			failed := 0
			for seed := first; seed < first+seeds && command.Context().Err() == nil; seed++ {
				report, err := soak(command.Context(), plan, seed)
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
	flags.StringVar(&plan.program, "router", "", "the router's program, quetzallaned")
	flags.IntVar(&plan.routers, "routers", 5, "how many routers to run")
	flags.IntVar(&plan.callers, "callers", 24, "how many callers to run")
	flags.DurationVar(&plan.length, "length", 10*time.Second, "how long faults go on")
	flags.StringVar(&plan.logs, "logs", "", "directory to keep the routers' logs in; by default those of failed seeds are kept in a temporary one")
	flags.Uint64Var(&first, "first", 1, "the first seed")
	flags.Uint64Var(&seeds, "seeds", 1, "how many seeds to run")
	_ = command.MarkFlagRequired("router")
	return command
}
