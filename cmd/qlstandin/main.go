// Command qlstandin serves stand-ins for the systems around the routers, for tests
// and the demo: a model engine, a plain service or the platform. For scripts/demo,
// it also prints free ports and sends the demo's requests.
//
// # Usage
//
//	qlstandin engine --settings engine.json
//	qlstandin service --settings service.json
//	qlstandin platform --settings platform.json
//	qlstandin ports 5
//	qlstandin demo --plan plan.json
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qldemo"
	"github.com/quetzallane/quetzallane/internal/qlstandin"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "qlstandin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "qlstandin",
		Short:         "Serve a stand-in for an engine, a service or the platform, for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(
		newServerCommand("engine", "Serve a stand-in model engine", newEngine),
		newServerCommand("service", "Serve a stand-in stock and booking service", newService),
		newServerCommand("platform", "Serve a stand-in configuration service and VM list", newPlatform),
		newPortsCommand(),
		newDemoCommand(),
	)
	return command
}

// newServerCommand returns a command that serves a stand-in. build makes the
// stand-in from the settings file at path, whose contents are data, and returns the
// address to listen on and the handler.
func newServerCommand(name, short string, build func(path string, data []byte) (string, http.Handler, error)) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   name + " --settings FILE",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return errors.Trace(err)
			}
			address, handler, err := build(path, data)
			if err != nil {
				return errors.Trace(err)
			}
			return serve(address, handler)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}

// serve serves HTTP until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{
		Handler: handler,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

func newEngine(path string, data []byte) (string, http.Handler, error) {
	var settings struct {
		Listen         string          `json:"listen"`
		ID             string          `json:"id"`
		Slots          int             `json:"slots"`
		TokenTime      qljson.Duration `json:"token-time"`
		PrefillTime    qljson.Duration `json:"prefill-time"`
		CachedPrefixes int             `json:"cached-prefixes"`
		LoadLag        qljson.Duration `json:"load-lag"`
		IgnoreFencing  bool            `json:"ignore-fencing"`
	}
	if err := qljson.Decode(path, data, &settings); err != nil {
		return "", nil, err
	}
	engine := qlstandin.NewEngine(qlstandin.EngineConfig{
		ID:             settings.ID,
		Slots:          settings.Slots,
		TokenTime:      settings.TokenTime.Std(),
		PrefillTime:    settings.PrefillTime.Std(),
		CachedPrefixes: settings.CachedPrefixes,
		LoadLag:        settings.LoadLag.Std(),
		IgnoreFencing:  settings.IgnoreFencing,
	})
	return settings.Listen, engine.Handler(), nil
}

func newService(path string, data []byte) (string, http.Handler, error) {
	var settings struct {
		Listen   string          `json:"listen"`
		ID       string          `json:"id"`
		CallTime qljson.Duration `json:"call-time"`
		LoadLag  qljson.Duration `json:"load-lag"`
	}
	if err := qljson.Decode(path, data, &settings); err != nil {
		return "", nil, err
	}
	service := qlstandin.NewService(qlstandin.ServiceConfig{
		ID:       settings.ID,
		CallTime: settings.CallTime.Std(),
		LoadLag:  settings.LoadLag.Std(),
	})
	return settings.Listen, service.Handler(), nil
}

func newPlatform(path string, data []byte) (string, http.Handler, error) {
	var settings struct {
		Listen string `json:"listen"`
	}
	if err := qljson.Decode(path, data, &settings); err != nil {
		return "", nil, err
	}
	return settings.Listen, qlstandin.NewPlatform().Handler(), nil
}

// newPortsCommand returns a command that prints free ports, for scripts that write
// settings.
func newPortsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ports COUNT",
		Short: "Print free loopback ports, one a line",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[0])
			if err != nil {
				return errors.NotValidf("count %q", args[0])
			}
			for range count {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return errors.Trace(err)
				}
				// Stays open until the command returns, so that no port is printed
				// twice.
				defer func() { _ = listener.Close() }()
				_, port, _ := net.SplitHostPort(listener.Addr().String())
				if _, err := fmt.Fprintln(command.OutOrStdout(), port); err != nil {
					return errors.Trace(err)
				}
			}
			return nil
		},
	}
}

// newDemoCommand returns the command that runs package qldemo.
func newDemoCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "demo --plan FILE",
		Short: "Act as operator and caller in scripts/demo, and check the answers",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return errors.Trace(err)
			}
			plan := qldemo.Plan{}
			if err := qljson.Decode(path, data, &plan); err != nil {
				return errors.Trace(err)
			}
			return qldemo.Run(command.Context(), command.OutOrStdout(), plan)
		},
	}
	command.Flags().StringVar(&path, "plan", "", "addresses of the processes, JSON")
	_ = command.MarkFlagRequired("plan")
	return command
}
