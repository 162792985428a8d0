// Command quetzallaned is the router daemon.
//
// # Usage
//
//	quetzallaned --settings router.json
//	quetzallaned --settings router.json --check
//	quetzallaned edge --settings edge.json
//
// It runs until SIGTERM or SIGINT, which begin a planned stop: the router reports
// not ready and waits for its active requests. Without a subcommand, a second
// signal cuts the requests that are still active. The exit status is 0 after a
// stop that cut no request, and 1 after any other end.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qllog"
	"github.com/quetzallane/quetzallane/internal/qlrouter"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quetzallaned:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var settingsPath string
	var checkOnly bool
	command := &cobra.Command{
		Use:           "quetzallaned --settings FILE",
		Short:         "Run one router of the fleet",
		Long:          "Run one router of the fleet until SIGTERM, which stops it without cutting a request.\ndocs/examples/router.json is a commented settings file; docs/OPERATIONS.md says more.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			settings, err := qlsetting.LoadRouter(settingsPath)
			if err != nil || checkOnly {
				return err
			}
			return run(settings)
		},
	}
	command.Flags().StringVar(&settingsPath, "settings", "", "settings file, JSON with comments")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newEdgeCommand())
	return command
}

// run runs a router until a planned stop has ended. The first signal begins the
// stop, and the second forces its end.
func run(settings *qlsetting.Router) error {
	log, err := qllog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	forceStop := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		close(forceStop)
	}()
	return qlrouter.New(qlrouter.Config{
		Settings: settings,
		Log:      log,
	}).Run(ctx, forceStop)
}
