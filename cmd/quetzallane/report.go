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
	_reportPageName      = "README.md"
	_reportFileMode      = 0o644
	_reportDirectoryMode = 0o755
)

func newReport() *cobra.Command {
	var directory string
	command := &cobra.Command{
		Use:   "report --out DIRECTORY JOURNAL",
		Short: "Make a page with tables and plots from the benchmark's journal",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			results, err := qlbench.ReadJournal(args[0])
			if err != nil {
				return errors.Trace(err)
			}
			if len(results) == 0 {
				return errors.NotFoundf("results of standard days in %s", args[0])
			}
			page, plots, err := qlreport.Make(results)
			if err != nil {
				return errors.Trace(err)
			}
			if err := os.MkdirAll(directory, _reportDirectoryMode); err != nil {
				return errors.Trace(err)
			}
			plots[_reportPageName] = []byte(page)
			for name, data := range plots {
				if err := os.WriteFile(filepath.Join(directory, name), data, _reportFileMode); err != nil {
					return errors.Trace(err)
				}
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%d results in %s\n", len(results), filepath.Join(directory, _reportPageName))
			return errors.Trace(err)
		},
	}
	command.Flags().StringVar(&directory, "out", "", "directory of the page and its plots")
	_ = command.MarkFlagRequired("out")
	return command
}
