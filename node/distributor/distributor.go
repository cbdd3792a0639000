// Package distributor replicates accepted versions to every node. Nodes that
// the plan selects watch the store; all nodes push versions down the trees, pull
// the versions that they lack and serve the pulls of their peers.
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

// Kind is the stream kind of the distributor.
const Kind = "distributor"

// DefaultStandbyDelay is the default of --standby-delay.
const DefaultStandbyDelay = 500 * time.Millisecond

// Mode selects how versions are distributed. All modes but Tree are baselines
// for measurements.
type Mode string

// Distribution modes.
const (
	Tree Mode = "tree"
	// Poll has every node watch the store itself; nothing is pushed.
	Poll Mode = "poll"
	// Gossip sends Have to random live peers and pulls from a random one each
	// second.
	Gossip Mode = "gossip"
)

// Distributor replicates versions between the store, this node and its peers.
// The exported fields must be set before Run.
type Distributor struct {
	// Self is the node's name.
	Self string
	Mode Mode
	// StandbyDelay returns how long a standby watcher waits for the primary's
	// push before it reads the store.
	StandbyDelay func() time.Duration
	Store        persister.Store
	// Document is the source of the operators' document; if nil, versions come
	// from the log in Store.
	Document *Document
	// PublishDistance publishes this node's distance to the store.
	PublishDistance func(now time.Time, distance int)
	// Current returns the tree in force and its hash.
	Current func() (sycamorerun.Tree, sycamorerun.Hash)
	// Apply and Install put a version in force or return the reason for its
	// refusal.
	Apply   func(now time.Time, entry sycamorerun.Entry) error
	Install func(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash) error
	// Plan returns the plan in force. It is called with locks held and must not
	// call the distributor.
	Plan func() planner.Plan
	// Open opens a stream of the given kind to a peer.
	Open func(ctx context.Context, peer, kind string) (net.Conn, error)
	// Peers returns the names of the live peers. Gossip mode and nodes whose
	// parent is silent pull from them.
	Peers func() []string
	// Random returns a uniformly distributed number in [0, 1).
	Random func() float64
	Logger log.Logger
	Scope  tally.Scope

	// acceptMutex serializes the acceptance of versions and is held while one is
	// applied. The other mutexes are held only briefly.
	acceptMutex sync.Mutex
	heldVersion atomic.Uint64
	// refusedTree is the tree of the held version while this node refuses to put
	// it in force. The next entry is based on it.
	refusedTree *sycamorerun.Tree
	// recentTrees are earlier trees on which entries may be based.
	recentTrees []sycamorerun.Tree

	planMutex sync.Mutex

	mutex      sync.Mutex
	entryCache entryCache
	pulls      pullScheduler
	parent     parent
	links      map[string]*link
	runContext context.Context
	// activeRole is the role of the running watch, which stopWatch cancels.
	activeRole planner.Watch
	stopWatch  context.CancelFunc

	wakePull      chan struct{}
	wakeWatch     chan struct{}
	ready         atomic.Bool
	replySlots    chan struct{}
	gossipSlots   chan struct{}
	snapshotCache snapshotCache
	storeHealth   storeHealth
	// takeover is set while this backup watcher watches the store in place of the
	// planned watchers.
	takeover atomic.Bool
}

// New returns a Distributor with default settings.
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

// Run distributes versions until ctx is done.
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

// Replan adjusts the links and the watch to the current plan. It is called
// after each membership change.
func (d *Distributor) Replan() {
	// Concurrent calls must not let an older plan replace a newer one.
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

// adjustWatch cancels the running watch if the plan gives this node another
// role. The caller holds d.mutex.
func (d *Distributor) adjustWatch(plan planner.Plan) {
	if d.stopWatch != nil && d.activeRole != d.watchRole(plan) {
		d.stopWatch()
	}
	signal(d.wakeWatch)
}

// updateLinks starts the links to new peers and stops those to removed peers.
// The caller holds d.mutex.
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

// HeldVersion returns the newest version whose content this node has verified.
// It is above the version in force while this node refuses that content.
func (d *Distributor) HeldVersion() sycamorerun.Version {
	tree, _ := d.Current()
	return max(tree.Version, sycamorerun.Version(d.heldVersion.Load()))
}

// Ready reports whether Bootstrap has completed.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// ApplyCommitted applies an entry that this node committed to the store.
func (d *Distributor) ApplyCommitted(now time.Time, entry sycamorerun.Entry) {
	data, err := persister.EncodeEntry(entry)
	if err == nil {
		err = d.accept(now, entry, data, "")
	}
	if err != nil {
		level.Warn(d.Logger).Log("msg", "committed entry not applied", "version", entry.Version, "err", err)
	}
}

// ObserveHeartbeat records the version that a peer's heartbeat reports.
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

// Entry returns the entry of version if it is still cached.
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

// Entries returns up to limit cached entries, newest first.
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

// errGap means that this node lacks the version on which an entry is based.
var errGap = errors.New("base version is not available")

// accept applies entry, whose stored encoding is data, and forwards it. An entry
// at or below the held version is ignored. An entry with intact content that
// this node refuses is still forwarded, since the validation rules of other
// nodes may differ, and becomes the base of the next entry.
func (d *Distributor) accept(now time.Time, entry sycamorerun.Entry, data []byte, source string) error {
	d.acceptMutex.Lock()
	defer d.acceptMutex.Unlock()
	held := d.HeldVersion()
	if entry.Version <= held {
		return nil
	}
	if base := entry.BaseVersion(); base != held {
		if tree, ok := d.recentTree(base); ok {
			return d.installWithEntry(now, differ.Apply(tree, entry.Version, entry.Difference), entry.Hash, entry.Time, source)
		}
		return errors.Wrapf(errGap, "entry of version %s is based on %s, but the node holds %s", entry.Version, base, held)
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

// applyEntry applies entry to the tree in force or to the refused one. It
// returns an error only if the resulting content does not match its hash.
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

// recordHeld records the version of tree as held. A non-nil err is the reason
// for which it was refused and is returned if the tree does not match hash.
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

// installSnapshot installs a complete tree and announces its version to the
// peers.
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
	// The cached entries end below the snapshot's version and cannot answer
	// pulls any more.
	d.mutex.Lock()
	d.entryCache = entryCache{}
	d.mutex.Unlock()
	d.forward(tree.Version, nil, source)
	return nil
}

// forward announces version to the peers or pushes its entry. Data is nil if
// there is no entry, as after a snapshot.
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
