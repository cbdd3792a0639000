package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/node/acceptor"
	"sycamorerun/node/applier"
	"sycamorerun/node/authenticator"
	"sycamorerun/node/connector"
	"sycamorerun/node/deduplicator"
	"sycamorerun/node/distributor"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/governor"
	"sycamorerun/node/manager"
	"sycamorerun/node/planner"
	"sycamorerun/node/rationer"
	"sycamorerun/node/recorder"
	"sycamorerun/node/releaser"
	"sycamorerun/node/reporter"
	"sycamorerun/node/router"
	"sycamorerun/node/seeder"
	"sycamorerun/node/tracker"
	"sycamorerun/persister"
	"sycamorerun/validator"
)

// kindTracker is the stream kind of the membership protocol.
const kindTracker = "tracker"

// node holds the components of one node and wires them.
type node struct {
	settings Settings
	// updates delivers reloaded settings. activeSettings holds settings with all
	// updates applied.
	updates        <-chan settingsUpdate
	setLevel       func(minimum string)
	activeSettings atomic.Pointer[Settings]
	self           sycamorerun.Instance
	logger         log.Logger
	scope          tally.Scope
	store          persister.Store
	// document is the source of the operators' document. If it is nil, versions
	// come from the log in the store.
	document *distributor.Document
	// handlers holds the constructors of handlers for additional listen addresses.
	handlers map[netip.AddrPort]func(API) http.Handler
	phase    atomic.Value
	// stoppedBeforeReady is set if the node is stopped before it has a version.
	stoppedBeforeReady atomic.Bool
	parseMutex         sync.Mutex
	// limitsMutex serializes changes of the limits for callers.
	limitsMutex sync.Mutex
	// refreshMutex serializes refreshUpstream. It guards lastRefresh and the
	// advertisement that was last passed to the publisher.
	refreshMutex sync.Mutex
	advertised   advertisement
	lastRefresh  time.Time
	rejections   rejections
	// reportingEnabled is set reportDelay after the node has become ready.
	reportingEnabled atomic.Bool

	fleet     *fleet
	connector *connector.Connector
	tracker   *tracker.Tracker
	seeder    *seeder.Seeder
	// recorder is nil if no handlers take announcements with a boot. The operators'
	// API takes none, so that there is no departure to keep.
	recorder *recorder.Recorder
	// storeFailed is set if the store's record of departures could not be read when
	// the node started, departuresLearned if a peer has told what it knows of them.
	storeFailed, departuresLearned atomic.Bool
	applier                        *applier.Applier
	distributor                    *distributor.Distributor
	acceptor                       *acceptor.Acceptor
	authenticator                  *authenticator.Authenticator
	manager                        *manager.Manager
	reporter                       *reporter.Reporter
	calls                          *calls
	keys                           *deduplicator.Exchanger
	rationer                       *rationer.Rationer
	publisher                      *publisher
	governor                       *governor.Governor
	// rollouts is nil if there are none.
	rollouts *rollouts
}

// newNode returns a wired node that starts at now.
func newNode(now time.Time, r *Runner, logger log.Logger, scope tally.Scope, metrics http.Handler) (*node, error) {
	settings := r.settings
	tlsConfig, err := loadTLS(settings)
	if err != nil {
		return nil, err
	}
	auth, err := authenticator.New(settings.AdminHash)
	if err != nil {
		return nil, err
	}
	n := &node{
		settings: settings, logger: logger, scope: scope, authenticator: auth,
		self: sycamorerun.Instance{
			Name: settings.Name, Incarnation: sycamorerun.NewIncarnation(max(1, rand.Uint32())), Address: settings.Peers,
			AvailabilityZone: settings.AvailabilityZone, Region: settings.Region,
			State: sycamorerun.StateNone, Since: now,
		},
		store:    persister.NewClient(persister.ClientConfig{Address: settings.Store, Caller: settings.Name}),
		document: r.Document, handlers: r.Handlers,
	}
	if r.Store != nil {
		n.store = *r.Store
	}
	n.activeSettings.Store(&settings)
	n.phase.Store(manager.PhaseStarting)
	n.fleet = newFleet(n.self)
	n.fleet.options = planner.Options{Watchers: settings.Watchers}
	n.applier = &applier.Applier{Changed: n.configurationChanged, Logger: logger, Scope: scope}
	if n.document == nil {
		// The rules bind changes that this product accepts. A document that was
		// accepted elsewhere only has to compile.
		n.applier.Validate = new(validator.Checker).Check
	}
	n.calls = newCalls(now, n.activeSettings.Load, n.applier.Current, n.fleet.serving, n.fleet.live)
	n.setLevel = r.logger.SetLevel
	if r.Contract != nil {
		n.calls.forwarder.Contract = *r.Contract
		if !settings.Keys {
			n.calls.forwarder.Contract.Key = ""
		}
	}
	n.governor = n.newGovernor()
	n.calls.listener.Door = n.governor.Door("callers", 0, 0)
	n.calls.deduplicator.Boot = int64(n.self.Incarnation.Boot())
	n.calls.registrar.Self = sycamorerun.Run{Name: settings.Name, Boot: n.calls.deduplicator.Boot}
	n.calls.forwarder.Logger, n.calls.forwarder.Scope = logger, scope
	n.calls.balancer.Scope = scope.SubScope("balancer")
	n.reporter = newReporter(n.applier.Current, n.fleet)
	n.reporter.Logger, n.reporter.Scope = logger, scope.SubScope("reporter")
	n.wireMembership()
	n.wireAnnouncements(now, r)
	n.wireKeys()
	n.wireQuotas(now)
	n.wireDistribution()
	n.wireAcceptance()
	n.wireRollouts(now, r)
	n.wireConnector(tlsConfig)
	n.wireManager(metrics)
	n.calls.forwarder.Open = n.connector.Open
	n.calls.upstream.onChange = n.refreshUpstream
	return n, nil
}

func (n *node) wireMembership() {
	n.tracker = &tracker.Tracker{
		Self: n.self,
		Open: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return n.connector.Open(ctx, to, kindTracker)
		},
		Plan:        n.fleet.plan,
		Version:     func() sycamorerun.Version { return n.distributor.HeldVersion() },
		VersionSeen: func(peer string, version sycamorerun.Version) { n.distributor.ObserveHeartbeat(peer, version) },
		Changed:     n.membersChanged,
		Logger:      n.logger,
		Scope:       n.scope,
	}
	n.seeder = &seeder.Seeder{
		Self: n.self, Store: n.store, Fixed: n.settings.Seeds,
		IsMaintainer: func() bool { return n.fleet.plan().Seed },
		Live:         n.tracker.Live,
		Now:          time.Now,
		Logger:       n.logger,
	}
	n.tracker.Seeds = n.seeder.Seeds
}

func (n *node) wireAnnouncements(now time.Time, r *Runner) {
	a := n.calls.upstream.announcer
	a.Service, a.Address = n.settings.Service, n.settings.Upstream
	if r.ServiceName != nil {
		a.Service = r.ServiceName(n.settings.Service)
	}
	if len(r.Handlers) == 0 {
		return
	}
	a.Hold(now)
	n.tracker.Departed = n.learnDepartures
	n.recorder = recorder.New(n.settings.Name, n.store)
	n.recorder.Departures, n.recorder.Restore = a.Departures, n.restoreDepartures
	n.recorder.Unreachable = n.useLearnedDepartures
	n.recorder.IsMaintainer = func() bool { return n.fleet.plan().Seed }
	n.recorder.Logger, n.recorder.Scope = n.logger, n.scope.SubScope("departures")
}

func (n *node) wireDistribution() {
	d := distributor.New()
	d.Self = n.settings.Name
	d.Mode = distributor.Mode(n.settings.Mode)
	d.StandbyDelay = func() time.Duration { return n.activeSettings.Load().StandbyDelay }
	d.Store = n.store
	d.Document = n.document
	d.PublishDistance = n.tracker.SetDistance
	d.Current = n.current
	d.Apply, d.Install = n.apply, n.applier.Install
	d.Plan = n.fleet.plan
	d.Peers = func() []string { return n.fleet.otherNames(n.settings.Name) }
	d.Logger, d.Scope = n.logger, n.scope
	d.Open = n.openStream
	n.distributor = d
}

func (n *node) wireAcceptance() {
	a := acceptor.New(n.store)
	a.Current = func() sycamorerun.Tree { return n.applier.Current().Tree }
	a.Entry = n.distributor.Entry
	a.OnEntry = n.distributor.ApplyCommitted
	a.ExternallyManaged = n.document != nil
	checker := &validator.Checker{}
	a.Validate = func(tree sycamorerun.Tree) []sycamorerun.Fault { return checker.Check(tree.Items) }
	a.Logger, a.Scope = n.logger, n.scope
	n.acceptor = a
}

// convergenceBuckets ranges from 1 ms to 65 s. Users require convergence within 7 s.
var convergenceBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// apply applies an entry and records the time since the entry was committed. The
// measured time includes the clock skew between the two instances.
func (n *node) apply(now time.Time, entry sycamorerun.Entry) error {
	before := n.applier.Current().Tree.Version
	if err := n.applier.Apply(now, entry); err != nil {
		return err
	}
	if entry.Version > before {
		n.scope.Histogram("convergence", convergenceBuckets).RecordDuration(now.Sub(entry.Time))
	}
	return nil
}

func (n *node) current() (sycamorerun.Tree, sycamorerun.Hash) {
	state := n.applier.Current()
	return state.Tree, state.Hash
}

// membersChanged recomputes the view of the fleet and notifies the components that
// depend on it.
func (n *node) membersChanged() {
	now := time.Now()
	n.fleet.update(n.settings.Name, n.tracker.Live(now), n.tracker.Reachable(now))
	n.distributor.Replan()
	n.updateKeyMembers(now)
	n.rationer.SetMembers(now, names(n.fleet.live()))
	n.reportRoutes(now)
}

// newReporter returns a reporter of the routes in the configuration in force and of
// the serving members.
func newReporter(current func() *applier.State, members *fleet) *reporter.Reporter {
	return &reporter.Reporter{
		Table:     func() *router.Table { return current().Table },
		Upstreams: members.servingCount,
	}
}

// reportRoutes updates the report of routes without an upstream. It does nothing
// until reportDelay after readiness.
func (n *node) reportRoutes(now time.Time) {
	if n.reportingEnabled.Load() {
		n.reporter.Update(now)
	}
}

// updateKeyMembers tells the deduplicator which members can execute calls with
// keys. Before the fleet's first version there are no routes and so no calls with
// keys. Members that join then must not make the state of any key uncertain.
func (n *node) updateKeyMembers(now time.Time) {
	announcement, ok := n.calls.upstream.lastAnnouncement()
	if ok && n.applier.Current().Tree.Version > 0 {
		n.calls.deduplicator.SetMembers(now, keyMembers(n.fleet.serving(announcement.Service)), keyMembers(n.fleet.live()))
	}
}

// configurationChanged is called after each version comes into force.
func (n *node) configurationChanged(state applier.State) {
	n.setLimits()
	n.authenticator.Update(state.Tree.Items)
	n.rationer.Update(state.Tree.Items)
	n.updateKeyMembers(state.Since)
	n.reportRoutes(state.Since)
	n.refreshUpstream(time.Now())
	level.Info(n.logger).Log("msg", "configuration applied", "version", state.Tree.Version, "routes", state.Table.Routes())
}

// openStream opens a stream of a kind to the node of a member.
func (n *node) openStream(ctx context.Context, peer, kind string) (net.Conn, error) {
	member, ok := n.fleet.member(peer)
	if !ok {
		return nil, errors.Errorf("peer %s is not a member", peer)
	}
	return n.connector.Open(ctx, member.Address, kind)
}

// streamHandlers returns the handlers of the streams that peers can open, by kind.
func (n *node) streamHandlers() map[string]connector.Handler {
	handlers := map[string]connector.Handler{
		kindTracker: func(ctx context.Context, from connector.Peer, stream net.Conn) {
			n.tracker.Serve(ctx, from.Name, stream)
		},
		distributor.Kind: func(ctx context.Context, from connector.Peer, stream net.Conn) {
			n.distributor.Serve(ctx, from.Name, stream)
		},
		forwarder.KindCall: func(ctx context.Context, _ connector.Peer, stream net.Conn) {
			n.calls.forwarder.ServeCall(ctx, stream)
		},
		deduplicator.Kind: func(_ context.Context, from connector.Peer, stream net.Conn) {
			n.keys.Serve(deduplicator.Member(from.Run()), stream)
		},
		rationer.Kind: func(_ context.Context, from connector.Peer, stream net.Conn) {
			n.rationer.Serve(from.Name, stream)
		},
		forwarder.KindQuery: func(ctx context.Context, _ connector.Peer, stream net.Conn) {
			n.calls.forwarder.ServeQuery(ctx, stream)
		},
	}
	if n.rollouts != nil {
		handlers[releaser.Kind] = func(ctx context.Context, _ connector.Peer, stream net.Conn) {
			n.rollouts.keeper.Serve(ctx, stream)
		}
	}
	return handlers
}
