// Package runner wires the slices of a node, starts them and stops them
// gracefully.
package runner

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/logger"
	"sycamorerun/meter"
	"sycamorerun/node/manager"
)

const (
	// headerTimeout bounds the wait for the head of an operator's request.
	headerTimeout = 10 * time.Second
	// reportDelay is the time from readiness until routes without an upstream
	// are logged and counted. The records of the other members come with the
	// first links; without the delay, each start would report all routes.
	reportDelay = 5 * time.Second
	// leaveTimeout bounds the announcement that the node is gone.
	leaveTimeout = 2 * time.Second
	// closeTimeout bounds the end of the HTTP servers after the drain.
	closeTimeout = 5 * time.Second
)

// Runner runs one node.
type Runner struct {
	settings Settings
	logs     io.Writer
}

// New returns a Runner that logs to logs.
func New(settings Settings, logs io.Writer) *Runner {
	return &Runner{settings: settings, logs: logs}
}

// Run runs the node until ctx ends, then drains it.
func (r *Runner) Run(ctx context.Context) error {
	now := time.Now()
	s := r.settings
	events := logger.New(r.logs, s.LogLevel, "node", s.Name, "zone", s.AvailabilityZone)
	scope, metrics, closer := meter.New(map[string]string{"node": s.Name, "zone": s.AvailabilityZone, "region": s.Region})
	defer closer.Close()
	n, err := newNode(now, s, events, scope, metrics)
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// run starts everything, waits for the end of ctx or a failure, and stops in
// the order that loses no call: callers and peers first, sessions last.
func (n *node) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	failed := make(chan error, 1)
	start := func(name string, run func(context.Context) error) {
		group.Go(func() {
			if err := run(background); err != nil && background.Err() == nil {
				select {
				case failed <- errors.Wrap(err, name):
				default:
				}
			}
		})
	}
	operators := &http.Server{
		Addr: n.settings.Operators.String(), Handler: n.manager.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	callers := callerServer(n.settings.Callers, n.calls.forwarder.Server(), n.ready)
	start("connector", n.connector.Run)
	start("tracker", n.tracker.Run)
	start("seeder", n.seeder.Run)
	start("distributor", n.distributor.Run)
	start("acceptor", n.acceptor.Run)
	if n.settings.Keys {
		start("keys", n.keys.Run)
	}
	start("upstream", n.watchUpstream)
	start("operators", serve(operators))
	start("callers", serve(callers))
	start("bootstrap", n.bootstrap)
	level.Info(n.logger).Log("msg", "node started", "callers", n.settings.Callers, "peers", n.settings.Peers, "operators", n.settings.Operators)

	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	n.drain(callers)
	n.phase.Store(manager.PhaseStopped)
	limited, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = operators.Shutdown(limited) // Operators ask another node.
	level.Info(n.logger).Log("msg", "node stopped")
	return nil
}

// serve runs an HTTP server as a function for start. The end of the context
// closes it at once, for a start that failed elsewhere.
func serve(server *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// bootstrap makes the node ready once it has the newest version known.
func (n *node) bootstrap(ctx context.Context) error {
	delayed := time.AfterFunc(n.settings.StartWait, func() {
		level.Warn(n.logger).Log("msg", "start is held up: the newest version is not known, since neither peers nor the store answer")
	})
	defer delayed.Stop()
	if err := n.distributor.Bootstrap(ctx); err != nil {
		return err
	}
	if n.phase.CompareAndSwap(manager.PhaseStarting, manager.PhaseReady) {
		level.Info(n.logger).Log("msg", "node ready", "version", n.applier.Current().Tree.Version)
		n.present(time.Now())
	}
	select {
	case <-ctx.Done():
	case <-time.After(reportDelay):
		n.reporting.Store(true)
		n.report(time.Now())
	}
	return nil
}

// drain tells the peers that the upstream here leaves, finishes the calls in
// flight and announces that the node is gone.
func (n *node) drain(callers *http.Server) {
	level.Info(n.logger).Log("msg", "draining", "timeout", n.settings.DrainTimeout)
	n.phase.Store(manager.PhaseDraining)
	n.present(time.Now())
	n.publisher.settle()
	limited, cancel := context.WithTimeout(context.Background(), n.settings.DrainDelay+n.settings.DrainTimeout)
	defer cancel()
	if err := n.calls.forwarder.Drain(limited); err != nil {
		level.Warn(n.logger).Log("msg", "calls were still in flight at the end of the drain", "err", err)
	}
	if err := callers.Shutdown(limited); err != nil {
		level.Warn(n.logger).Log("msg", "caller connections were still open at the end of the drain", "err", err)
	}
	leaving, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	n.keys.Finish(leaving)
	n.tracker.Leave(leaving)
}

// ready refuses calls before the node has the newest version.
func (n *node) ready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.phase.Load() == manager.PhaseStarting {
			w.Header().Set(sycamorerun.HeaderOutcome, string(sycamorerun.NotRun))
			w.Header().Set(sycamorerun.HeaderReason, "starting")
			http.Error(w, "the node does not have the newest configuration yet", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
