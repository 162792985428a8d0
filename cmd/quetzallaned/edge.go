package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qledge"
	"github.com/quetzallane/quetzallane/internal/qlhangup"
	"github.com/quetzallane/quetzallane/internal/qllog"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/platform"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func newEdgeCommand() *cobra.Command {
	var settingsPath string
	var checkOnly bool
	command := &cobra.Command{
		Use:   "edge [--settings FILE]",
		Short: "Run one router on the users' platform",
		Long:  "Run one router on the users' platform until SIGTERM, which stops it without cutting a request.\nThe platform makes the settings from deploy/router.json.tmpl; docs/PLATFORM.md says more.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := qlsetting.LoadEdge(settingsPath)
			if err != nil || checkOnly {
				return err
			}
			return runEdge(settingsPath, settings)
		},
	}
	command.Flags().StringVar(&settingsPath, "settings", platform.SettingsPath(), "settings file, JSON with comments")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return command
}

// runEdge runs a router of the platform until a planned stop has ended. On SIGHUP
// it reloads the settings from settingsPath, as far as they can change while the
// router runs; invalid settings are logged and ignored.
func runEdge(settingsPath string, settings *qlsetting.Edge) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	log, boundedLog, err := qllog.NewBounded(os.Stdout, settings.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer boundedLog.Close()
	edge, err := qledge.New(qledge.Config{
		Settings: settings,
		Source:   platform.NewStore(settings.Store).Source(),
		Dialect:  platform.Dialect(),
		Log:      log,
		LogLines: boundedLog,
	})
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		for range qlhangup.Signals() {
			changed, err := qlsetting.LoadEdge(settingsPath)
			if err != nil {
				log.Error("settings-refused", zap.Error(err))
				continue
			}
			edge.Reload(changed)
		}
	}()
	return edge.Run(ctx)
}
