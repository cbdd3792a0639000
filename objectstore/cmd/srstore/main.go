// Command srstore is a stand-in for the platform's object store. It keeps all
// objects in memory.
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

const headTimeout = 5 * time.Second

type settings struct {
	listen  netip.AddrPort
	faults  string
	history int
	seed    int
	level   string
}

func main() {
	var o settings
	l := loader.New("srstore")
	loader.Add(l, &o.listen, "listen", "127.0.0.1:7000", loader.Address(), "address to listen on")
	loader.Add(l, &o.faults, "faults", "", loader.Text("JSON as for PUT /faults, or nothing"), "fault plan")
	loader.Add(l, &o.history, "history", "4096", loader.Int(1, 1<<20), "writes that a watch can still see")
	loader.Add(l, &o.seed, "seed", "1", loader.Int(0, math.MaxInt), "seed for faults that hit a fraction of the calls")
	loader.Add(l, &o.level, "log-level", "info", loader.Choice("debug", "info", "warn", "error"), "least level logged")
	proceed, code := l.Start(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr})
	if !proceed {
		os.Exit(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o settings) error {
	s := server.New(keeper.New(o.history), injector.New(uint64(o.seed)))
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
	listener, err := net.Listen("tcp", o.listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_ = level.Info(s.Logger).Log("msg", "listening", "address", listener.Addr())
	// The objects are lost with the process, so there is nothing to drain.
	h := &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, ConnContext: server.Connect}
	defer context.AfterFunc(ctx, func() { _ = h.Close() })()
	if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
