package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlreport"
	"github.com/quetzallane/quetzallane/platform/qlbench"
	"github.com/spf13/cobra"
)

const (
	_reportPage  = "README.md"
	_reportMode  = 0o644
	_reportAbove = 0o755
)

func newReport() *cobra.Command {
	var out string
	command := &cobra.Command{
		Use:   "report --out DIRECTORY JOURNAL",
		Short: "Make a page with tables and plots from the bench's journal",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plays, err := qlbench.ReadJournal(args[0])
			if err != nil {
				return errors.Trace(err)
			}
			if len(plays) == 0 {
				return errors.NotFoundf("plays of standard days in %s", args[0])
			}
			page, plots, err := qlreport.Make(plays)
			if err != nil {
				return errors.Trace(err)
			}
			if err := os.MkdirAll(out, _reportAbove); err != nil {
				return errors.Trace(err)
			}
			plots[_reportPage] = []byte(page)
			for name, data := range plots {
				if err := os.WriteFile(filepath.Join(out, name), data, _reportMode); err != nil {
					return errors.Trace(err)
				}
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%d plays in %s\n", len(plays), filepath.Join(out, _reportPage))
			return errors.Trace(err)
		},
	}
	command.Flags().StringVar(&out, "out", "", "directory of the page and its plots")
	_ = command.MarkFlagRequired("out")
	return command
}
