// Command quetzallaned is the router daemon.
//
// # Usage
//
//	quetzallaned --settings router.json
//	quetzallaned --settings router.json --check
//
// It runs until SIGTERM or SIGINT, which begin a planned stop; a second one
// cuts what still runs. The exit status is 0 after a stop that cut nothing,
// 1 after any other end.
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
	var path string
	var check bool
	command := &cobra.Command{
		Use:           "quetzallaned --settings FILE",
		Short:         "Run one router of the fleet",
		Long:          "Run one router of the fleet until SIGTERM, which stops it without cutting a request.\ndocs/examples/router.json is a commented settings file; docs/OPERATIONS.md says more.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			settings, err := qlsetting.LoadRouter(path)
			if err != nil || check {
				return err
			}
			return run(settings)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newEdgeCommand())
	return command
}

func run(settings *qlsetting.Router) error {
	log, err := qllog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	force := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		close(force)
	}()
	return qlrouter.New(qlrouter.Config{
		Settings: settings,
		Log:      log,
	}).Run(ctx, force)
}
