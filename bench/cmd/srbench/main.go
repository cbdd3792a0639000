// Command srbench measures a fleet of real processes on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun/bench/converger"
	"sycamorerun/bench/stresser"
)

// Exit codes. Only the command play exits with exitPromiseBroken; all commands
// exit with exitFailed on other errors.
const (
	exitPromiseBroken = 1
	exitFailed        = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "srbench", Short: "Measure a fleet of real processes on loopback", SilenceUsage: true}
	root.AddCommand(newConvergeCommand(), newCallsCommand(), newCostsCommand(), newBalanceCommand(), newPlayCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		stop()
		if errors.Is(err, errPromiseBroken) {
			os.Exit(exitPromiseBroken)
		}
		os.Exit(exitFailed)
	}
}

// newConvergeCommand returns the command that measures the distribution of
// settings changes.
func newConvergeCommand() *cobra.Command {
	var (
		modes    []string
		nodes    []int
		services []int
		c        converger.Case
	)
	command := &cobra.Command{
		Use:     "converge",
		Short:   "Measure convergence time and control bytes of changes",
		Example: "  srbench converge --modes tree,poll --nodes 12,48 --services 430",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if c.Binaries, err = binaryDirectory(); err != nil {
				return err
			}
			var results []converger.Result
			for _, c.Services = range services {
				for _, c.Nodes = range nodes {
					for _, c.Mode = range modes {
						result, err := measureConvergence(command.Context(), c)
						if err != nil {
							return err
						}
						results = append(results, result)
						fmt.Fprintf(os.Stderr, "%s, %d nodes, %d services: measured\n", c.Mode, c.Nodes, c.Services)
					}
				}
			}
			return converger.Write(os.Stdout, results)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&modes, "modes", []string{"tree", "gossip", "poll"}, "ways of distribution to compare")
	flags.IntSliceVar(&nodes, "nodes", []int{12, 48}, "numbers of nodes, multiples of 6")
	flags.IntSliceVar(&services, "services", []int{20}, "numbers of services in the tree")
	flags.IntVar(&c.Changes, "changes", 20, "changes per measurement")
	flags.DurationVar(&c.Interval, "interval", time.Second, "time between changes")
	flags.DurationVar(&c.Settle, "settle", 3*time.Second, "time before the first observation; 80s lets all sessions of the start close")
	flags.IntVar(&c.Paused, "paused", 0, "further changes with each region's primary watcher paused")
	flags.DurationVar(&c.Idle, "idle", 10*time.Second, "time observed without changes")
	flags.DurationVar(&c.RegionDelay, "region-delay", 10*time.Millisecond, "one-way delay between regions")
	flags.DurationVar(&c.ZoneDelay, "zone-delay", 500*time.Microsecond, "one-way delay between availability zones of a region")
	flags.DurationVar(&c.StandbyDelay, "standby-delay", 500*time.Millisecond, "the nodes' setting of this name")
	return command
}

// binaryDirectory returns the directory of the binaries, which is the directory
// of srbench.
func binaryDirectory() (string, error) {
	program, err := os.Executable()
	return filepath.Dir(program), errors.Wrap(err, "find the directory of the binaries")
}

// newCallsCommand returns the command that measures the data path.
func newCallsCommand() *cobra.Command {
	var c stresser.Case
	command := &cobra.Command{
		Use:     "calls",
		Short:   "Measure the latency that nodes add, the last calls at a leaving upstream and the answers under overload",
		Example: "  srbench calls --rate 500 --duration 20s",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return withDirectory(&c, func() error {
				if err := stresser.Latency(command.Context(), c, os.Stdout); err != nil {
					return err
				}
				fmt.Println()
				departures, err := stresser.Departures(command.Context(), c)
				if err != nil {
					return err
				}
				stresser.WriteDepartures(os.Stdout, departures)
				fmt.Println()
				return stresser.Overload(command.Context(), c, os.Stdout)
			})
		},
	}
	flags := command.Flags()
	flags.Float64Var(&c.Rate, "rate", 500, "calls per second to each way")
	flags.DurationVar(&c.Duration, "duration", 10*time.Second, "time of each measurement")
	flags.DurationVar(&c.Work, "work", 10*time.Millisecond, "time that an upstream takes for a call under overload")
	return command
}

// newCostsCommand returns the command that measures the resource usage of a call
// at each node.
func newCostsCommand() *cobra.Command {
	var (
		c     stresser.Case
		calls int
		file  string
	)
	command := &cobra.Command{
		Use:     "costs",
		Short:   "Measure system calls, wake-ups and allocations of a call at each node, and the memory of a connection",
		Example: "  srbench costs --calls 2000 --file costs.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return withDirectory(&c, func() error {
				costs, err := stresser.Costs(command.Context(), c, calls)
				if err != nil {
					return err
				}
				if err := stresser.WriteCosts(os.Stdout, costs, file); err != nil {
					return err
				}
				connection, err := stresser.Connections(command.Context(), c)
				if err != nil {
					return err
				}
				fmt.Println()
				stresser.WriteConnections(os.Stdout, connection)
				return nil
			})
		},
	}
	flags := command.Flags()
	flags.IntVar(&calls, "calls", 1000, "small calls of each measurement; a tenth of it are made with large bodies")
	flags.StringVar(&file, "file", "", "file for the rows as JSON")
	return command
}

// newBalanceCommand returns the command that compares load balancing policies.
func newBalanceCommand() *cobra.Command {
	var c stresser.Case
	command := &cobra.Command{
		Use:     "balance",
		Short:   "Compare the balancer with round robin on 20 upstreams, some of them slow, cold or misleading",
		Example: "  srbench balance --duration 20s",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return withDirectory(&c, func() error {
				balances, err := stresser.Balancing(command.Context(), c)
				if err != nil {
					return err
				}
				stresser.WriteBalances(os.Stdout, balances)
				return nil
			})
		},
	}
	flags := command.Flags()
	flags.DurationVar(&c.Duration, "duration", 10*time.Second, "time of each measurement")
	flags.DurationVar(&c.Work, "work", 100*time.Millisecond, "time that an upstream takes for a call")
	return command
}

// withDirectory calls run with the binaries and a temporary directory set in c.
func withDirectory(c *stresser.Case, run func() error) error {
	var err error
	if c.Binaries, err = binaryDirectory(); err != nil {
		return err
	}
	if c.Directory, err = os.MkdirTemp("", "srbench"); err != nil {
		return errors.Wrap(err, "create a temporary directory")
	}
	defer os.RemoveAll(c.Directory)
	return run()
}

// measureConvergence runs one case in a temporary directory.
func measureConvergence(ctx context.Context, c converger.Case) (converger.Result, error) {
	directory, err := os.MkdirTemp("", "srbench")
	if err != nil {
		return converger.Result{}, errors.Wrap(err, "create a temporary directory")
	}
	defer os.RemoveAll(directory)
	c.Directory = directory
	return converger.Run(ctx, c)
}
