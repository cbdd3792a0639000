// Command srstore runs an in-memory stand-in for the platform's object store.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun/loader"
	"sycamorerun/logger"
	"sycamorerun/objectstore/injector"
	"sycamorerun/objectstore/keeper"
	"sycamorerun/objectstore/server"
)

const headerTimeout = 5 * time.Second

type settings struct {
	listen  netip.AddrPort
	faults  string
	history int
	seed    int
	level   string
}

func main() {
	var cfg settings
	flags := loader.New("srstore")
	loader.Add(flags, &cfg.listen, "listen", "127.0.0.1:7000", loader.Address(), "address to listen on")
	loader.Add(flags, &cfg.faults, "faults", "", loader.Text("JSON as for PUT /faults, or nothing"), "fault plan")
	loader.Add(flags, &cfg.history, "history", "4096", loader.Int(1, 1<<20), "maximum number of past writes kept for watches")
	loader.Add(flags, &cfg.seed, "seed", "1", loader.Int(0, math.MaxInt), "seed for faults that affect a share of the callers or a fraction of the calls")
	loader.Add(flags, &cfg.level, "log-level", "info", loader.Choice("debug", "info", "warn", "error"), "minimum level of logged messages")
	ok, code := flags.Start(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr})
	if !ok {
		os.Exit(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cfg settings) error {
	s := server.New(keeper.New(cfg.history), injector.New(uint64(cfg.seed)))
	s.Logger = logger.New(os.Stderr, cfg.level, "program", "srstore")
	if cfg.faults != "" {
		var plan injector.Plan
		if err := json.Unmarshal([]byte(cfg.faults), &plan); err != nil {
			return errors.Wrap(err, "--faults")
		}
		if err := s.SetFaults(plan); err != nil {
			return errors.Wrap(err, "--faults")
		}
	}
	listener, err := net.Listen("tcp", cfg.listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = level.Info(s.Logger).Log("msg", "listening", "address", listener.Addr())
	// The objects are held in memory only, so a shutdown needs no drain.
	httpServer := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnContext: server.ConnContext}
	defer context.AfterFunc(ctx, func() { _ = httpServer.Close() })()
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
