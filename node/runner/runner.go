// Package runner wires the components of a node, starts them and stops them
// gracefully.
package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun/logger"
	"sycamorerun/meter"
	"sycamorerun/node/distributor"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/listener"
	"sycamorerun/node/manager"
	"sycamorerun/node/releaser"
	"sycamorerun/persister"
)

const (
	// headerTimeout bounds the wait for the header of an operator's request.
	headerTimeout = 10 * time.Second
	// reportDelay is the time from readiness until routes without an upstream
	// are logged and counted. The records of the other members arrive over the
	// first links; without the delay, each start would report all routes.
	reportDelay = 5 * time.Second
	// stopMargin bounds the rest of the shutdown after the drain: sending the last
	// answers, stopping the HTTP servers, sending the last records to peers and
	// closing the sessions.
	stopMargin = time.Second
	// exitReserve is the part of stopMargin that is left for the end of the process
	// itself, which takes longer on a busy machine.
	exitReserve = 200 * time.Millisecond
	// closeTimeout bounds the graceful shutdown of an HTTP server, during which
	// the last responses are written. A connection on which no request was ever
	// made would delay the shutdown.
	closeTimeout = 200 * time.Millisecond
	// leaveTimeout bounds sending the last records to peers, and separately the
	// closing of the sessions. Only peers that don't answer take longer.
	leaveTimeout = 250 * time.Millisecond
)

// Runner runs one node. Set the exported fields before Run; their zero values
// select the default object store, the log in the store and the default headers.
type Runner struct {
	// Store replaces the client of the object store.
	Store *persister.Store
	// Document is the source of a configuration that operators write into the
	// store as one document.
	Document *distributor.Document
	// Contract defines the names of the call headers.
	Contract *forwarder.Contract
	// ServiceName returns the name in the configuration of the service in the
	// settings. If it is nil, both names are the same.
	ServiceName func(string) string
	// Rollouts gives access to the operators' rollout orders. If it is nil, or the
	// setting rollout-share is zero, upstreams of all releases are served alike.
	Rollouts *releaser.Orders
	// Handlers holds the constructors of handlers for additional listen addresses.
	Handlers map[netip.AddrPort]func(API) http.Handler

	settings Settings
	logger   *logger.Leveled
	updates  chan settingsUpdate
}

// New returns a Runner that logs to logs.
func New(settings Settings, logs io.Writer) *Runner {
	return &Runner{
		settings: settings, updates: make(chan settingsUpdate, 1),
		logger: logger.NewLeveled(logs, settings.LogLevel, "node", settings.Name, "zone", settings.AvailabilityZone),
	}
}

// enqueueUpdate passes reloaded settings to the running node. It merges them with
// an update that the node has not received yet.
func (r *Runner) enqueueUpdate(u settingsUpdate) {
	select {
	case pending := <-r.updates:
		u.names = append(pending.names, u.names...)
	default:
	}
	r.updates <- u
}

// Run runs the node until ctx ends, then drains it.
func (r *Runner) Run(ctx context.Context) error {
	now := time.Now()
	s := r.settings
	scope, metrics, closer := meter.New(map[string]string{"node": s.Name, "zone": s.AvailabilityZone, "region": s.Region})
	defer closer.Close()
	n, err := newNode(now, r, r.logger, scope, metrics)
	if err != nil {
		return err
	}
	r.logger.SetLevel(s.LogLevel)
	n.updates = r.updates
	return n.run(ctx)
}

// run starts all components, waits until ctx ends or a component fails, and shuts
// down. Callers and peers are drained before the sessions are closed, so that no
// call is lost.
func (n *node) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	deadline := time.Time{}
	defer func() {
		stop()
		n.awaitBackground(&group, deadline)
	}()
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
	operators := &http.Server{Addr: n.settings.Operators.String(), Handler: n.manager.Handler()}
	callers := callerServer(n.settings.Callers, n.calls, n.ready)
	start("connector", n.connector.Run)
	start("tracker", n.tracker.Run)
	start("seeder", n.seeder.Run)
	if n.recorder != nil {
		start("recorder", n.recorder.Run)
	}
	start("distributor", n.distributor.Run)
	start("acceptor", n.acceptor.Run)
	if n.rollouts != nil {
		start("rollouts", n.rollouts.keeper.Run)
		start("rollout reports", n.rollouts.exchanger.Run)
	}
	if n.settings.Keys {
		start("keys", n.keys.Run)
	}
	start("quotas", n.rationer.Run)
	start("upstream", n.watchUpstream)
	start("settings", n.applyUpdates(n.updates))
	start("operators", n.serveDoor("operators", operators, func(l *listener.Listener) { l.BodyHeld = operatorBody }))
	start("callers", serveWrapped(callers, n.calls.listener.Wrap))
	for address, handler := range n.handlers {
		server := &http.Server{Addr: address.String(), Handler: handler(n.api())}
		start("handler", n.serveDoor("handlers", server, func(l *listener.Listener) { l.BodyTimeout = doorBody }))
	}
	start("governor", n.watchGovernor)
	start("bootstrap", n.bootstrap)
	level.Info(n.logger).Log("msg", "node started", "callers", n.settings.Callers, "peers", n.settings.Peers, "operators", n.settings.Operators)

	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	deadline = n.drain(callers)
	n.phase.Store(manager.PhaseStopped)
	_ = shutdownServer(operators) // Operators can use another node.
	level.Info(n.logger).Log("msg", "node stopped")
	return nil
}

// awaitBackground waits until all goroutines of group have ended, or until the
// deadline. A zero deadline means stopMargin from now. Goroutines that still hang
// on a connection to a peer then end with the process.
func (n *node) awaitBackground(group *sync.WaitGroup, deadline time.Time) {
	if deadline.IsZero() {
		deadline = time.Now().Add(stopMargin)
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
		level.Warn(n.logger).Log("msg", "background goroutines did not end before the shutdown deadline")
	}
}

// shutdownServer stops an HTTP server that has no requests in flight.
func shutdownServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	_ = server.Close()
	return err
}

// serveWrapped returns a function that runs an HTTP server on a listener that wrap
// returns, until the server is shut down. It closes the server immediately when its
// context ends, which happens if another component fails.
func serveWrapped(server *http.Server, wrap func(net.Listener) net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// bootstrap marks the node as ready once it has the newest known version.
func (n *node) bootstrap(ctx context.Context) error {
	warning := time.AfterFunc(n.settings.StartWait, func() {
		level.Warn(n.logger).Log("msg", "node is not ready yet: neither peers nor the object store have returned the newest version")
	})
	defer warning.Stop()
	if err := n.distributor.Bootstrap(ctx); err != nil {
		return err
	}
	if n.phase.CompareAndSwap(manager.PhaseStarting, manager.PhaseReady) {
		level.Info(n.logger).Log("msg", "node ready", "version", n.applier.Current().Tree.Version)
		n.refreshUpstream(time.Now())
	}
	select {
	case <-ctx.Done():
	case <-time.After(reportDelay):
		n.reportingEnabled.Store(true)
		n.reportRoutes(time.Now())
	}
	return nil
}

// drain tells the peers that the local upstream is draining, waits for the calls in
// flight and announces that the node has left. It returns the time by which the
// process must end.
func (n *node) drain(callers *http.Server) (exitDeadline time.Time) {
	now := time.Now()
	times := newStopTimes(n.activeSettings.Load())
	level.Info(n.logger).Log("msg", "draining", "delay", times.delay, "linger", times.linger, "timeout", times.drain)
	n.stoppedBeforeReady.Store(n.phase.Swap(manager.PhaseDraining) == manager.PhaseStarting)
	// This starts the transfer of the keys. Calls are served meanwhile.
	n.refreshUpstream(time.Now())
	n.calls.forwarder.Grace, n.calls.forwarder.Linger = times.delay, times.linger
	drainCtx, cancel := context.WithDeadline(context.Background(), now.Add(times.drain))
	defer cancel()
	if err := n.calls.forwarder.Drain(drainCtx); err != nil {
		level.Warn(n.logger).Log("msg", "drain timed out with calls in flight", "err", err)
	}
	exitDeadline = time.Now().Add(stopMargin - exitReserve)
	if err := shutdownServer(callers); err != nil {
		level.Debug(n.logger).Log("msg", "closing caller connections that are still open after the drain", "err", err)
	}
	n.publisher.waitPublished()
	leaveCtx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	if n.settings.Keys {
		n.keys.SendResults(leaveCtx)
	}
	n.tracker.Leave(leaveCtx)
	return exitDeadline
}

// ready wraps next to refuse calls until the node has the newest version. It keeps
// refusing them on a node that is stopped before it was ready.
func (n *node) ready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.phase.Load() == manager.PhaseStarting || n.stoppedBeforeReady.Load() {
			n.calls.forwarder.Decline(w, r, "starting")
			return
		}
		next.ServeHTTP(w, r)
	})
}
