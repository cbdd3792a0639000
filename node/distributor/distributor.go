// Package distributor brings accepted versions to every node: it watches the
// store where the plan selects the node to, pushes down the trees, pulls what
// is missing and answers the pulls of others.
package distributor

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

// Kind is the kind of the distributor's streams.
const Kind = "distributor"

// DefaultStandbyDelay is the default of the setting --standby-delay.
const DefaultStandbyDelay = 500 * time.Millisecond

// Mode selects the way of distribution. All but Tree are baselines for
// measurements.
type Mode string

// Modes of distribution.
const (
	Tree Mode = "tree"
	// Poll has every node watch the store itself; nothing is pushed.
	Poll Mode = "poll"
	// Gossip sends Have to random live peers and asks one each second.
	Gossip Mode = "gossip"
)

// Distributor owns the recent entries and what is known of peers' versions.
// The exported fields are set before Run.
type Distributor struct {
	// Self is the node's name.
	Self string
	Mode Mode
	// StandbyDelay returns how long the standby waits for the primary's push.
	StandbyDelay func() time.Duration
	Store        persister.Store
	// Document is the operators' document; nil selects the log in Store.
	Document *Document
	// PublishDistance publishes the distance of the store.
	PublishDistance func(now time.Time, distance int)
	// Current returns the tree in force and its hash.
	Current func() (sycamorerun.Tree, sycamorerun.Hash)
	// Apply and Install put a version in force or return why they did not.
	Apply   func(now time.Time, entry sycamorerun.Entry) error
	Install func(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash) error
	// Plan is called with locks held and must not call the distributor.
	Plan func() planner.Plan
	// Open opens a stream of kind to the peer with name.
	Open func(ctx context.Context, peer, kind string) (net.Conn, error)
	// Peers returns the names of the live peers, for Gossip and for a node
	// whose parent is silent.
	Peers func() []string
	// Random returns a uniform number in [0, 1).
	Random func() float64
	Logger log.Logger
	Scope  tally.Scope

	// accepting orders the acceptance of versions; it is held while one is
	// applied. The other mutexes are held for short times only.
	acceptMutex sync.Mutex
	heldVersion atomic.Uint64
	// refused is the newest version that was verified but refused here, the
	// base of the entry after it.
	refusedTree *sycamorerun.Tree
	// recent are the trees held before, for entries that are based on them.
	recentTrees []sycamorerun.Tree

	planMutex sync.Mutex

	mutex      sync.Mutex
	entryCache entryCache
	pulls      pullScheduler
	parent     parent
	links      map[string]*link
	runContext context.Context
	// role is the watch that is running and stopWatch ends it.
	activeRole planner.Watch
	stopWatch  context.CancelFunc

	wakePull      chan struct{}
	wakeWatch     chan struct{}
	ready         atomic.Bool
	replySlots    chan struct{}
	gossipSlots   chan struct{}
	snapshotCache snapshotCache
	storeHealth   storeHealth
	// taken is set while this node watches in place of the planned watchers.
	takeover atomic.Bool
}

// New returns a Distributor with its defaults.
func New() *Distributor {
	return &Distributor{
		Mode:            Tree,
		StandbyDelay:    func() time.Duration { return DefaultStandbyDelay },
		PublishDistance: func(time.Time, int) {},
		Random:          rand.Float64,
		Peers:           func() []string { return nil },
		Logger:          log.NewNopLogger(),
		pulls:           pullScheduler{peers: map[string]*peerState{}},
		links:           map[string]*link{},
		wakePull:        make(chan struct{}, 1),
		wakeWatch:       make(chan struct{}, 1),
		replySlots:      make(chan struct{}, maxLargeReplies),
		gossipSlots:     make(chan struct{}, maxGossipSends),
	}
}

// Run distributes until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mutex.Lock()
	d.runContext = ctx
	d.mutex.Unlock()
	d.Replan()
	if d.Document == nil {
		group.Go(func() { d.watchLog(ctx) })
	} else {
		group.Go(func() { d.watchDocument(ctx) })
		group.Go(func() { d.monitorWatchers(ctx) })
	}
	group.Go(func() { d.runPulls(ctx) })
	switch d.Mode {
	case Gossip:
		group.Go(func() { d.runAntiEntropy(ctx) })
	case Tree:
		group.Go(func() { d.runFallback(ctx) })
	}
	<-ctx.Done()
	return ctx.Err()
}

// Replan adjusts the links and the watch to the plan. It is called after each
// change of the members.
func (d *Distributor) Replan() {
	// A plan that was read earlier must not replace a later one.
	d.planMutex.Lock()
	defer d.planMutex.Unlock()
	plan := d.Plan()
	linked := linkedPeers(plan.Links)
	isChild := map[string]bool{}
	for _, name := range children(plan.Links) {
		isChild[name] = true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.runContext == nil || d.runContext.Err() != nil {
		return
	}
	if d.Mode == Tree {
		d.updateLinks(linked, isChild)
		retained := map[string]bool{}
		for name := range linked {
			retained[name] = true
		}
		d.pulls.retain(retained)
	}
	d.adjustWatch(plan)
	signal(d.wakePull)
}

// adjustWatch ends a watch in a role other than that of the plan; the caller
// holds the mutex.
func (d *Distributor) adjustWatch(plan planner.Plan) {
	if d.stopWatch != nil && d.activeRole != d.watchRole(plan) {
		d.stopWatch()
	}
	signal(d.wakeWatch)
}

// relink starts and stops links; the caller holds the mutex.
func (d *Distributor) updateLinks(linked, isChild map[string]bool) {
	for name, link := range d.links {
		if _, ok := linked[name]; !ok {
			link.stop()
			delete(d.links, name)
		}
	}
	for name := range linked {
		existing, ok := d.links[name]
		if !ok {
			ctx, stop := context.WithCancel(d.runContext)
			existing = &link{peer: name, stop: stop, wake: make(chan struct{}, 1)}
			d.links[name] = existing
			go existing.run(ctx, d)
		}
		existing.setChild(isChild[name])
		if !ok && d.HeldVersion() > 0 {
			existing.resetQueue(d.HeldVersion())
		}
	}
}

// HeldVersion returns the newest version whose content this node has verified. It is
// above the version in force while that content is refused here.
func (d *Distributor) HeldVersion() sycamorerun.Version {
	tree, _ := d.Current()
	return max(tree.Version, sycamorerun.Version(d.heldVersion.Load()))
}

// Ready reports whether Bootstrap has found the newest version.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// ApplyCommitted takes an entry that this node committed to the store.
func (d *Distributor) ApplyCommitted(now time.Time, entry sycamorerun.Entry) {
	data, err := persister.EncodeEntry(entry)
	if err == nil {
		err = d.accept(now, entry, data, "")
	}
	if err != nil {
		level.Warn(d.Logger).Log("msg", "committed entry not applied", "version", entry.Version, "err", err)
	}
}

// ObserveHeartbeat records a peer's version, as carried by heartbeats.
func (d *Distributor) ObserveHeartbeat(peer string, version sycamorerun.Version) {
	now := time.Now()
	d.mutex.Lock()
	d.parent.observeHeartbeat(now, peer)
	d.mutex.Unlock()
	d.observeVersion(now, peer, version, d.pullDelay()+d.crossRegionDelay(peer))
}

func (d *Distributor) observeVersion(now time.Time, peer string, version sycamorerun.Version, delay time.Duration) {
	held := d.HeldVersion()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pulls.observe(now, peer, version, held, delay)
	if version > held {
		signal(d.wakePull)
	}
}

// Entry returns a recent entry.
func (d *Distributor) Entry(version sycamorerun.Version) (sycamorerun.Entry, bool) {
	d.mutex.Lock()
	data, ok := d.entryCache.get(version)
	d.mutex.Unlock()
	if !ok {
		return sycamorerun.Entry{}, false
	}
	entry, err := persister.DecodeEntry(data)
	return entry, err == nil
}

// Entries returns up to limit recent entries, newest first.
func (d *Distributor) Entries(limit int) []sycamorerun.Entry {
	d.mutex.Lock()
	newest := slices.Clone(d.entryCache.entries[max(0, len(d.entryCache.entries)-limit):])
	d.mutex.Unlock()
	var entries []sycamorerun.Entry
	for _, cached := range slices.Backward(newest) {
		if entry, err := persister.DecodeEntry(cached.data); err == nil {
			entries = append(entries, entry)
		}
	}
	return entries
}

// errGap means that versions before an entry are missing.
var errGap = errors.New("versions are missing")

// accept applies entry, whose stored form is data, and forwards it. An entry
// at or below the held version is ignored. An entry that this node refuses
// although its content is intact is forwarded all the same, since the rules of
// another node may differ, and becomes the base of the next one.
func (d *Distributor) accept(now time.Time, entry sycamorerun.Entry, data []byte, source string) error {
	d.acceptMutex.Lock()
	defer d.acceptMutex.Unlock()
	held := d.HeldVersion()
	if entry.Version <= held {
		return nil
	}
	if base := entry.Basis(); base != held {
		if tree, ok := d.recentTree(base); ok {
			return d.installWithEntry(now, differ.Apply(tree, entry.Version, entry.Difference), entry.Hash, entry.Time, source)
		}
		return errors.Wrapf(errGap, "version %s on top of %s after %s", entry.Version, base, held)
	}
	previous := d.heldTree()
	if err := d.applyEntry(now, entry); err != nil {
		return err
	}
	d.addRecentTree(previous)
	d.mutex.Lock()
	d.entryCache.add(entry.Version, held, data)
	d.mutex.Unlock()
	d.forward(entry.Version, data, source)
	return nil
}

// put applies entry on the tree in force or on the refused one. It returns an
// error only when the content does not match its hash.
func (d *Distributor) applyEntry(now time.Time, entry sycamorerun.Entry) error {
	base, _ := d.Current()
	if d.refusedTree != nil {
		next := differ.Apply(*d.refusedTree, entry.Version, entry.Difference)
		return d.recordHeld(next, entry.Hash, d.Install(now, next, entry.Hash))
	}
	err := d.Apply(now, entry)
	if err == nil {
		return d.recordHeld(sycamorerun.Tree{Version: entry.Version}, entry.Hash, nil)
	}
	return d.recordHeld(differ.Apply(base, entry.Version, entry.Difference), entry.Hash, err)
}

// settle records the version of tree as held, in force or refused with err.
func (d *Distributor) recordHeld(tree sycamorerun.Tree, hash sycamorerun.Hash, err error) error {
	if err != nil && differ.Hash(tree.Items) != hash {
		return err
	}
	d.refusedTree = nil
	if err != nil {
		d.refusedTree = &tree
		d.count("distributor_refused", 1)
	}
	d.heldVersion.Store(uint64(tree.Version))
	return nil
}

// install puts a whole tree in force and tells the peers.
func (d *Distributor) installSnapshot(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash, source string) error {
	d.acceptMutex.Lock()
	defer d.acceptMutex.Unlock()
	if tree.Version <= d.HeldVersion() {
		return nil
	}
	if d.Document != nil {
		return d.installWithEntry(now, tree, hash, now, source)
	}
	if err := d.recordHeld(tree, hash, d.Install(now, tree, hash)); err != nil {
		return err
	}
	// The entries end below the snapshot's version and no longer answer a pull.
	d.mutex.Lock()
	d.entryCache = entryCache{}
	d.mutex.Unlock()
	d.forward(tree.Version, nil, source)
	return nil
}

// forward tells the peers about version; data is nil after a snapshot.
func (d *Distributor) forward(version sycamorerun.Version, data []byte, source string) {
	signal(d.wakePull)
	switch d.Mode {
	case Gossip:
		d.gossipVersion(version, source)
	case Tree:
		var content []byte
		if data != nil {
			content = encodeFrame(newPush(version, data))
		}
		d.enqueue(targets(d.Plan().Links, source, data != nil), version, content)
	}
}

func (d *Distributor) enqueue(to []target, version sycamorerun.Version, content []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, target := range to {
		link, ok := d.links[target.peer]
		if !ok {
			continue
		}
		if peer := d.pulls.peers[target.peer]; peer != nil && peer.version >= version {
			continue
		}
		link.enqueue(target, version, content)
	}
}

func (d *Distributor) open(ctx context.Context, peer string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.Open(ctx, peer, Kind)
}

func (d *Distributor) count(name string, n int) {
	if d.Scope != nil {
		d.Scope.Counter(name).Inc(int64(n))
	}
}
