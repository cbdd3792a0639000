package main

import (
	"cmp"
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun/bench/experimenter"
	"sycamorerun/bench/player"
	"sycamorerun/bench/plotter"
)

// errPromiseBroken is returned when the judge found a broken promise.
var errPromiseBroken = errors.New("a promise was broken")

// newPlayCommand returns the command that plays experiments.
func newPlayCommand() *cobra.Command {
	var (
		directory string
		seed      uint64
		verify    bool
	)
	command := &cobra.Command{
		Use:   "play FILE...",
		Short: "Play experiments and write tables, plots and JSON",
		Long: `Play experiments and write tables, plots and JSON.

Exit code 0: no promise of the system was broken. 1: the judge found a broken
promise. 2: a file is faulty or an experiment could not be played.`,
		Example: "  srbench play bench/experiments/store.yaml --out results",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			experiments, err := parseFiles(files)
			if err != nil || verify {
				return err
			}
			binaries, err := binaryDirectory()
			if err != nil {
				return err
			}
			p := &player.Player{Binaries: binaries, Directory: directory, Progress: os.Stderr}
			broken := 0
			for _, x := range experiments {
				if command.Flags().Changed("seed") {
					x.Seed = seed
				}
				found, err := playExperiment(command.Context(), p, x)
				if err != nil {
					return err
				}
				broken += found
			}
			if broken > 0 {
				return errPromiseBroken
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&directory, "out", "results", "directory for tables, plots, JSON and the logs of runs with a broken promise")
	flags.Uint64Var(&seed, "seed", 0, "seed in place of the files' own")
	flags.BoolVar(&verify, "verify", false, "verify the files only")
	return command
}

// parseFiles parses all files and prints all of their faults.
func parseFiles(files []string) ([]experimenter.Experiment, error) {
	var experiments []experimenter.Experiment
	faulty := 0
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read the experiment file")
		}
		x, faults := experimenter.Parse(content)
		for _, fault := range faults {
			fmt.Fprintf(os.Stderr, "%s:%d: %s: %s: %s\n", file, fault.Line, cmp.Or(fault.Path, "file"), fault.Code, fault.Reason)
		}
		faulty += len(faults)
		experiments = append(experiments, x)
	}
	if faulty > 0 {
		return nil, errors.Errorf("%d faults in the experiment files", faulty)
	}
	return experiments, nil
}

// playExperiment plays an experiment, writes its results and returns the number
// of broken promises.
func playExperiment(ctx context.Context, p *player.Player, x experimenter.Experiment) (int, error) {
	result, err := p.Play(ctx, x)
	if err != nil {
		return 0, err
	}
	if err := plotter.Write(p.Directory, result); err != nil {
		return 0, err
	}
	fmt.Print(plotter.Table(result))
	return result.BrokenPromises(), nil
}
