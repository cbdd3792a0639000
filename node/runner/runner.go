// Package runner wires the slices of a node, starts them and stops them
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
	"sycamorerun/node/manager"
	"sycamorerun/persister"
)

// lingerPart is the part of the drain timeout in which new calls of callers are
// still served after the drain delay. The rest is for calls in flight.
const lingerPart = 3

const (
	// headerTimeout bounds the wait for the head of an operator's request.
	headerTimeout = 10 * time.Second
	// reportDelay is the time from readiness until routes without an upstream
	// are logged and counted. The records of the other members come with the
	// first links; without the delay, each start would report all routes.
	reportDelay = 5 * time.Second
	// stopMargin is the time of a stop beyond the drain: the end of the HTTP
	// servers, the last records for peers and the end of the sessions share it.
	// Whoever stops a node allows a second more than its drain takes.
	stopMargin = 800 * time.Millisecond
	// closeTimeout bounds the end of the HTTP servers, in which the last
	// responses are written. A connection on which no request was ever made
	// would hold it up.
	closeTimeout = 200 * time.Millisecond
	// leaveTimeout bounds the last records for peers, and also the end of the
	// sessions. What takes longer goes to peers that don't answer.
	leaveTimeout = 250 * time.Millisecond
)

// Runner runs one node. The exported fields are set before Run; their zero
// values select the product's own store, log and headers.
type Runner struct {
	// Store replaces the client of the object store.
	Store *persister.Store
	// Document is the source of a configuration that the operators write as one
	// document in the store.
	Document *distributor.Document
	// Contract names the headers of calls.
	Contract *forwarder.Contract
	// Handlers serve further addresses.
	Handlers map[netip.AddrPort]func(API) http.Handler

	settings Settings
	events   *logger.Leveled
	updates  chan update
}

// New returns a Runner that logs to logs.
func New(settings Settings, logs io.Writer) *Runner {
	return &Runner{
		settings: settings, updates: make(chan update, 1),
		events: logger.NewLeveled(logs, settings.LogLevel, "node", settings.Name, "zone", settings.AvailabilityZone),
	}
}

// update has a running node take settings that were read again.
func (r *Runner) update(u update) {
	select {
	case waiting := <-r.updates:
		// The node has not taken the last ones yet.
		u.names = append(waiting.names, u.names...)
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
	n, err := newNode(now, r, r.events, scope, metrics)
	if err != nil {
		return err
	}
	r.events.SetLevel(s.LogLevel)
	n.updates = r.updates
	return n.run(ctx)
}

// run starts everything, waits for the end of ctx or a failure, and stops in
// the order that loses no call: callers and peers first, sessions last.
func (n *node) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	limit := time.Time{}
	defer func() {
		stop()
		n.finish(&group, limit)
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
	operators := &http.Server{
		Addr: n.settings.Operators.String(), Handler: n.manager.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	callers := callerServer(n.settings.Callers, n.calls, n.ready)
	start("connector", n.connector.Run)
	start("tracker", n.tracker.Run)
	start("seeder", n.seeder.Run)
	start("distributor", n.distributor.Run)
	start("acceptor", n.acceptor.Run)
	if n.settings.Keys {
		start("keys", n.keys.Run)
	}
	start("upstream", n.watchUpstream)
	start("settings", n.follow(n.updates))
	start("operators", serve(operators))
	start("callers", serveOn(callers, n.calls.listener.Wrap))
	for address, handler := range n.handlers {
		start("handler", serve(&http.Server{
			Addr: address.String(), Handler: handler(n.api()), ReadHeaderTimeout: headerTimeout,
		}))
	}
	start("bootstrap", n.bootstrap)
	level.Info(n.logger).Log("msg", "node started", "callers", n.settings.Callers, "peers", n.settings.Peers, "operators", n.settings.Operators)

	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	limit = n.drain(callers)
	n.phase.Store(manager.PhaseStopped)
	_ = shut(operators) // Operators ask another node.
	level.Info(n.logger).Log("msg", "node stopped")
	return nil
}

// finish waits until all that start began has ended, or until the limit, zero
// meaning stopMargin from now. The process is about to end, with whatever hangs
// in a connection to a peer.
func (n *node) finish(group *sync.WaitGroup, limit time.Time) {
	if limit.IsZero() {
		limit = time.Now().Add(stopMargin)
	}
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Until(limit)):
		level.Warn(n.logger).Log("msg", "background work did not end in time")
	}
}

// shut ends an HTTP server that has no work.
func shut(server *http.Server) error {
	limited, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := server.Shutdown(limited)
	_ = server.Close()
	return err
}

// serve runs an HTTP server as a function for start. The end of the context
// closes it at once, for a start that failed elsewhere.
func serve(server *http.Server) func(context.Context) error {
	return serveOn(server, func(plain net.Listener) net.Listener { return plain })
}

// serveOn is serve with a wrapper of the listener.
func serveOn(server *http.Server, wrap func(net.Listener) net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		plain, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if err := server.Serve(wrap(plain)); !errors.Is(err, http.ErrServerClosed) {
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
// flight and announces that the node is gone. It returns the time by which the
// process has to end.
func (n *node) drain(callers *http.Server) (limit time.Time) {
	s := n.inForce.Load()
	level.Info(n.logger).Log("msg", "draining", "delay", s.DrainDelay, "timeout", s.DrainTimeout)
	n.unversioned.Store(n.phase.Swap(manager.PhaseDraining) == manager.PhaseStarting)
	ended := time.Now().Add(s.DrainDelay + s.DrainTimeout)
	// The hand-over of keys begins now; calls go on meanwhile.
	n.present(time.Now())
	n.calls.forwarder.Grace, n.calls.forwarder.Linger = s.DrainDelay, s.DrainTimeout/lingerPart
	limited, cancel := context.WithDeadline(context.Background(), ended)
	defer cancel()
	if err := n.calls.forwarder.Drain(limited); err != nil {
		level.Warn(n.logger).Log("msg", "calls were still in flight at the end of the drain", "err", err)
	}
	limit = time.Now().Add(stopMargin)
	if err := shut(callers); err != nil {
		level.Debug(n.logger).Log("msg", "caller connections were still open at the end of the drain", "err", err)
	}
	n.publisher.settle()
	leaving, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	if n.settings.Keys {
		n.keys.SendResults(leaving)
	}
	n.tracker.Leave(leaving)
	return limit
}

// ready refuses calls before the node has the newest version, also when it is
// stopped before.
func (n *node) ready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.phase.Load() == manager.PhaseStarting || n.unversioned.Load() {
			n.calls.forwarder.Decline(w, r, "starting")
			return
		}
		next.ServeHTTP(w, r)
	})
}
