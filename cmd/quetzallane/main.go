// Command quetzallane is the command line for operators. It checks configuration
// and deploy files, shows the state of a router, and explains what happened to a
// request from the routers' logs.
//
// # Usage
//
//	quetzallane check templates.json customers.json
//	quetzallane check-deploy deploy/system.toml
//	quetzallane render --customer depot templates.json customers.json
//	quetzallane state 10.0.0.5:9100
//	quetzallane explain 9c41d07be2a35f68 router-1.log router-2.log
//	quetzallane report --out docs/report journal
//	quetzallane codes
//	quetzallane hash < key
//
// It changes nothing in the fleet; only report writes files. The exit status is 0
// on success, and 1 if a check or a command fails.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlexplain"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/platform/qlbench"
	"github.com/spf13/cobra"
)

// _stateTimeout limits the request for the state of a router.
const _stateTimeout = 5 * time.Second

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quetzallane:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "quetzallane",
		Short:         "Look at a router fleet and check its configuration",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newCheck(), newCheckDeploy(), newRender(), newState(), newExplain(), newReport(), newCodes(), newHash())
	return command
}

// buildConfiguration builds and validates the configuration whose parts are the
// files. Errors name the file.
func buildConfiguration(paths []string) (*qlconfig.Configuration, error) {
	parts := make([][]byte, 0, len(paths))
	fetched := make(map[string][]byte, len(paths))
	sources := make(map[string]string, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		parts = append(parts, data)
		fetched[qlconfig.HashPart(data)] = data
		sources[qlconfig.HashPart(data)] = path
	}
	builder := qlconfig.Builder{
		Names: sources,
	}
	return builder.Build(qlconfig.NewIndex(1, parts), fetched)
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check the files as the parts of one configuration",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			configuration, err := buildConfiguration(paths)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "good: %d customers, %d pools\n", len(configuration.CustomerIDs()), len(configuration.PoolNames()))
			return err
		},
	}
}

func newCheckDeploy() *cobra.Command {
	var root string
	command := &cobra.Command{
		Use:   "check-deploy FILE",
		Short: "Check a deploy file of the users' platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			roles, err := qlbench.CheckDeploy(root, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "good: roles %s\n", strings.Join(roles, ", "))
			return errors.Trace(err)
		},
	}
	command.Flags().StringVar(&root, "root", ".", "the repository's root, to which paths in the file are relative")
	return command
}

func newRender() *cobra.Command {
	var customerID string
	command := &cobra.Command{
		Use:   "render --customer NAME FILE...",
		Short: "Print what a customer gets from its template and parameters",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			configuration, err := buildConfiguration(paths)
			if err != nil {
				return err
			}
			customer := configuration.Customer(customerID)
			if customer == nil {
				return errors.NotFoundf("customer %q", customerID)
			}
			return printJSON(command.OutOrStdout(), struct {
				Customer    string   `json:"customer"`
				Share       float64  `json:"share"`
				MaxInFlight int      `json:"max-in-flight"`
				CostRate    float64  `json:"cost-rate"`
				QueueLength int      `json:"queue-length"`
				MaxWait     string   `json:"max-wait"`
				Pools       []string `json:"pools"`
			}{
				Customer:    customer.ID(),
				Share:       customer.Share(),
				MaxInFlight: customer.MaxInFlight(),
				CostRate:    customer.CostRate(),
				QueueLength: customer.QueueLength(),
				MaxWait:     customer.MaxWait().String(),
				Pools:       customer.Pools(),
			})
		},
	}
	command.Flags().StringVar(&customerID, "customer", "", "the customer's name")
	_ = command.MarkFlagRequired("customer")
	return command
}

func newState() *cobra.Command {
	return &cobra.Command{
		Use:   "state ADDRESS",
		Short: "Print the state of a router, by its operations address",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client := &http.Client{
				Transport: qlhead.DefaultTransport(),
				Timeout:   _stateTimeout,
			}
			response, err := client.Get("http://" + args[0] + "/debug/state")
			if err != nil {
				return errors.Trace(err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				return errors.Errorf("%s answered %s", args[0], response.Status)
			}
			_, err = io.Copy(command.OutOrStdout(), response.Body)
			return errors.Trace(err)
		},
	}
}

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print one request's log lines from several routers, in order of time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			timeline := qlexplain.New(args[0])
			for _, path := range args[1:] {
				if err := timeline.ReadFile(path); err != nil {
					return err
				}
			}
			return timeline.Write(command.OutOrStdout())
		},
	}
}

func newCodes() *cobra.Command {
	var markdown bool
	command := &cobra.Command{
		Use:   "codes",
		Short: "Print the table of result codes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			out := command.OutOrStdout()
			if markdown {
				_, err := io.WriteString(out, qlcode.Markdown())
				return err
			}
			for _, code := range qlcode.All() {
				if _, err := fmt.Fprintf(out, "%d  %-20s run: %-8s http: %d  %s\n", int(code), code.Name(), code.Run(), code.HTTPStatus(), code.Title()); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().BoolVar(&markdown, "markdown", false, "print docs/RESULT-CODES.md")
	return command
}

func newHash() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a bearer key from standard input and print its hash for key-hashes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(command.InOrStdin(), &key); err != nil {
				return errors.Annotate(err, "read the key")
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), qlconfig.HashKey(key))
			return err
		},
	}
}

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(value))
}
