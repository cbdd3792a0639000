// Command srstore is a stand-in for the platform's object store. It keeps all
// objects in memory.
package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun/logger"
	"sycamorerun/objectstore/injector"
	"sycamorerun/objectstore/keeper"
	"sycamorerun/objectstore/server"
)

const headTimeout = 5 * time.Second

type options struct {
	listen, faults, level string
	history               int
	seed                  uint64
}

func main() {
	var o options
	command := &cobra.Command{
		Use:          "srstore",
		Short:        "Stand-in for the platform's object store, in memory",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(command *cobra.Command, _ []string) error { return run(command.Context(), o) },
	}
	flags := command.Flags()
	flags.StringVar(&o.listen, "listen", "127.0.0.1:7060", "address to listen on")
	flags.StringVar(&o.faults, "faults", "", "fault plan as JSON, as for PUT /faults")
	flags.IntVar(&o.history, "history", 4096, "writes that a watch can still see")
	flags.Uint64Var(&o.seed, "seed", 1, "seed for faults that hit a fraction of the calls")
	flags.StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	s := server.New(keeper.New(o.history), injector.New(o.seed))
	s.Logger = logger.New(os.Stderr, o.level, "program", "srstore")
	if o.faults != "" {
		var plan injector.Plan
		if err := json.Unmarshal([]byte(o.faults), &plan); err != nil {
			return errors.Wrap(err, "--faults")
		}
		if err := s.SetFaults(plan); err != nil {
			return errors.Wrap(err, "--faults")
		}
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = level.Info(s.Logger).Log("msg", "listening", "address", listener.Addr())
	// The objects are lost with the process, so there is nothing to drain.
	h := &http.Server{Handler: s, ReadHeaderTimeout: headTimeout}
	defer context.AfterFunc(ctx, func() { _ = h.Close() })()
	if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
