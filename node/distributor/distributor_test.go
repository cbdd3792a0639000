package distributor

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/encoder"
	"sycamorerun/node/applier"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

var start = time.Unix(1_800_000_000, 0)

// newIsolatedNode returns a node without peers or a store, and its applier.
func newIsolatedNode() (*Distributor, *applier.Applier) {
	d, a := New(), &applier.Applier{}
	d.Current = func() (sycamorerun.Tree, sycamorerun.Hash) { return a.Current().Tree, a.Current().Hash }
	d.Apply, d.Install = a.Apply, a.Install
	d.Plan = func() planner.Plan { return planner.Plan{} }
	return d, a
}

// TestPullScheduler guards against too many concurrent pulls, a pull from another
// region while a peer within the region has the version, and a version that is
// never pulled.
func TestPullScheduler(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(s *pullScheduler, now time.Time)
		held sycamorerun.Version
		peer string
		wait time.Duration
	}
	observe := func(peer string, version sycamorerun.Version) func(*pullScheduler, time.Time) {
		return func(s *pullScheduler, now time.Time) { s.observe(now, peer, version, 1, pullDelay) }
	}
	startPull := func(peer string) func(*pullScheduler, time.Time) {
		return func(s *pullScheduler, now time.Time) { s.startPull(now, peer) }
	}
	noop := func(*pullScheduler, time.Time) {}
	const ms = time.Millisecond
	cases := map[string][]step{
		"waits for the push":       {{0, observe("a", 2), 1, "", pullDelay}, {300 * ms, noop, 1, "a", maxIdleWait}},
		"push arrived":             {{0, observe("a", 2), 1, "", pullDelay}, {300 * ms, noop, 2, "", maxIdleWait}},
		"near peer first":          {{0, observe("far", 3), 1, "", pullDelay}, {300 * ms, observe("a", 2), 1, "far", pullDelay}, {600 * ms, noop, 1, "a", maxIdleWait}},
		"a later Have is no delay": {{0, observe("a", 2), 1, "", pullDelay}, {200 * ms, observe("a", 3), 1, "", 100 * ms}},
		"direct":                   {{0, observe("a", 2), 1, "", pullDelay}, {0, func(s *pullScheduler, now time.Time) { s.observe(now, "a", 2, 1, 0) }, 1, "a", maxIdleWait}},
		"one pull, then a hedge": {
			{0, observe("a", 2), 1, "", pullDelay},
			{0, observe("b", 2), 1, "", pullDelay},
			{0, observe("c", 2), 1, "", pullDelay},
			{300 * ms, startPull("a"), 1, "", hedgeDelay},
			{1300 * ms, noop, 1, "b", maxIdleWait},
			{1300 * ms, startPull("b"), 1, "", maxIdleWait},
		},
		"failure": {
			{0, observe("a", 2), 1, "", pullDelay},
			{300 * ms, startPull("a"), 1, "", hedgeDelay},
			{400 * ms, func(s *pullScheduler, now time.Time) { s.failPull(now, "a", 0.5) }, 1, "", 50 * ms},
			{450 * ms, noop, 1, "a", maxIdleWait},
		},
		"busy": {
			{0, observe("a", 2), 1, "", pullDelay},
			{300 * ms, func(s *pullScheduler, now time.Time) { s.startPull(now, "a"); s.finishPull(now, "a", 2, 70*ms) }, 1, "", 70 * ms},
		},
		"peer went back": {
			{0, observe("a", 9), 1, "", pullDelay},
			{300 * ms, func(s *pullScheduler, now time.Time) { s.startPull(now, "a"); s.finishPull(now, "a", 1, 0) }, 1, "", maxIdleWait},
		},
		"Have during a pull": {
			{0, observe("a", 2), 1, "", pullDelay},
			{300 * ms, func(s *pullScheduler, now time.Time) {
				s.startPull(now, "a")
				observe("a", 3)(s, now)
				s.finishPull(now, "a", 2, 0)
			}, 2, "a", maxIdleWait},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &pullScheduler{peers: map[string]*peerState{}}
			for _, step := range steps {
				now := start.Add(step.at)
				step.do(s, now)
				peer, wait := s.next(now, step.held, func(name string) bool { return name == "far" })
				is.Equal(peer, step.peer)
				if peer == "" {
					is.Equal(wait, step.wait)
				}
			}
		})
	}
}

// TestTargets guards against content that is pushed to a node twice or to another
// region.
func TestTargets(t *testing.T) {
	links := []planner.Link{
		{Name: "up", Tree: 0, Role: planner.RoleParent},
		{Name: "far", Tree: 0, Role: planner.RoleRegion},
		{Name: "both", Tree: 0, Role: planner.RoleChild},
		{Name: "first", Tree: 0, Role: planner.RoleChild},
		{Name: "up2", Tree: 1, Role: planner.RoleParent},
		{Name: "both", Tree: 1, Role: planner.RoleChild},
		{Name: "second", Tree: 1, Role: planner.RoleChild},
	}
	cases := map[string]struct {
		source  string
		content bool
		want    []target
	}{
		"from the parent":  {"up", true, []target{{"far", false, false}, {"both", true, false}, {"first", true, false}, {"second", false, false}}},
		"learned here":     {"", true, []target{{"up", false, false}, {"far", false, false}, {"both", true, false}, {"first", true, false}, {"second", false, false}}},
		"after a snapshot": {"up2", false, []target{{"up", false, false}, {"far", false, false}, {"both", false, true}, {"first", false, true}, {"second", false, false}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(targets(links, c.source, c.content), c.want) })
	}
}

// TestQueue guards against unbounded memory use by a slow link, and against an
// overflow after which the peer is not notified of the newest version.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, content := queue{}, make([]byte, maxQueuedBytes)
		sent, received, last := 0, sycamorerun.Version(0), sycamorerun.Version(0)
		drain := func() {
			data, ok := q.next()
			if !ok {
				return
			}
			if data[0] != 0 {
				received++
				return
			}
			message, err := readMessage(bytes.NewReader(data))
			if err != nil {
				t.Fatal(err)
			}
			// The peer pulls up to the announced version.
			received = sycamorerun.Version(message.GetHave().GetVersion())
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
				drain()
				continue
			}
			last++
			size := rapid.SampledFrom([]int{1, 1 << 10, 200 << 10, maxQueuedBytes}).Draw(t, "size")
			content[0] = 1
			q.addPush(last, content[:size])
			sent++
			if len(q.frames) > maxQueuedFrames || q.bytes > maxQueuedBytes {
				t.Fatalf("queue holds %d frames and %d bytes, more than its limits", len(q.frames), q.bytes)
			}
		}
		for range sent + 1 {
			drain()
		}
		if received != last {
			t.Fatalf("peer received version %s, last queued version is %s", received, last)
		}
	})
}

// TestEntryCache guards against replies with a gap and against unbounded memory
// use.
func TestEntryCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c entryCache
		last := sycamorerun.Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			last += sycamorerun.Version(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 7}).Draw(t, "step"))
			c.add(last, last-1, make([]byte, rapid.SampledFrom([]int{1, 1000, maxCachedBytes / 4, maxCachedBytes}).Draw(t, "size")))
			if c.bytes > maxCachedBytes || len(c.entries) > maxCachedEntries {
				t.Fatalf("cache holds %d bytes and %d entries, more than its limits", c.bytes, len(c.entries))
			}
		}
		after := sycamorerun.Version(rapid.IntRange(0, int(last)).Draw(t, "after"))
		entries, _, ok := c.after(after)
		if ok && sycamorerun.Version(len(entries)) != last-after {
			t.Fatalf("got %d entries after version %s, newest is %s", len(entries), after, last)
		}
		if _, held := c.get(after + 1); held != ok && after < last {
			t.Fatalf("get found the next entry: %v, after found it: %v", held, ok)
		}
	})
}

// TestSlotVersion guards against a standby that mistakes an old version in a slot
// for a new one or the reverse.
func TestSlotVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := rapid.Uint64Range(0, 1<<40).Draw(t, "held")
		version := held + rapid.Uint64Range(0, persister.RingSlots-1).Draw(t, "ahead")
		version -= min(version, persister.RingSlots/2-1)
		got := slotVersion(persister.LogKey(sycamorerun.Version(version)), sycamorerun.Version(held))
		if got != sycamorerun.Version(version) {
			t.Fatalf("slot of version %d, held version %d: got version %s", version, held, got)
		}
	})
}

// TestReply guards against a reply that is larger than necessary, and against one
// that leaves a gap after a snapshot.
func TestReply(t *testing.T) {
	is := is.New(t)
	store := newStore()
	d, _ := newIsolatedNode()
	for range 200 {
		d.ApplyCommitted(start, store.nextEntry())
	}
	reply, _ := d.buildReply(199, false)
	is.Equal(len(reply.GetEntries()), 1)
	reply, large := d.buildReply(10, false)
	is.True(reply.GetSnapshot() != nil && large) // 190 entries exceed the tree of 7 services
	reply, _ = d.buildReply(200, false)
	is.True(reply.GetSnapshot() == nil && reply.GetEntries() == nil)
	follower, a := newIsolatedNode()
	reply, _ = d.buildReply(0, false)
	is.NoErr(follower.acceptReply(start, "peer", reply))
	is.Equal(a.Current().Tree.Version, sycamorerun.Version(200))
	reply, _ = follower.buildReply(199, false)
	is.True(reply.GetSnapshot() != nil)
	entry, ok := d.Entry(150)
	is.True(ok)
	is.Equal(entry.Version, sycamorerun.Version(150))
}

// TestLargeReplyLimit guards against many simultaneous pulls that exhaust a node's
// memory.
func TestLargeReplyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		d, _ := newIsolatedNode()
		for range 200 {
			d.ApplyCommitted(start, store.nextEntry())
		}
		busy, served := 0, 0
		var streams []net.Conn
		for range 20 {
			near, far := net.Pipe()
			go d.Serve(t.Context(), "peer", far)
			_, _ = encoder.Write(near, newWant(0, false))
			synctest.Wait()
			streams = append(streams, near)
		}
		for _, stream := range streams {
			reply, err := readReply(stream)
			if err != nil {
				t.Fatal(err)
			}
			if reply.GetRetryMs() > 0 {
				busy++
			} else if reply.GetSnapshot() != nil {
				served++
			}
			_ = stream.Close()
		}
		if served != maxLargeReplies || busy != 20-maxLargeReplies {
			t.Errorf("%d pulls served, %d refused as busy", served, busy)
		}
	})
}

// TestSilentPeers guards against pulls from stalled peers that delay the pull from
// a responding peer until the change is overdue.
func TestSilentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		source, _ := newIsolatedNode()
		d, a := newIsolatedNode()
		for range 5 {
			source.ApplyCommitted(start, store.nextEntry())
		}
		d.Open = func(_ context.Context, peer, _ string) (net.Conn, error) {
			near, far := net.Pipe()
			if peer == "answering" {
				go source.Serve(t.Context(), "peer", far)
			} else {
				go func() { _, _ = io.Copy(io.Discard, far) }()
			}
			return near, nil
		}
		go func() { _ = d.Run(t.Context()) }()
		synctest.Wait()
		d.ObserveHeartbeat("silent", 5)
		d.ObserveHeartbeat("stalled", 5)
		time.Sleep(1500 * time.Millisecond)
		d.ObserveHeartbeat("answering", 5)
		time.Sleep(2 * time.Second)
		if version := a.Current().Tree.Version; version != 5 {
			t.Errorf("version %s in force, want 5", version)
		}
	})
}

// TestBootstrapWithoutPeers guards against a fleet restart in which each node reads
// the whole log before the nodes know each other.
func TestBootstrapWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.commit(3)
		d, a := newIsolatedNode()
		d.Store = store.client(0, func() bool { return true })
		d.Plan = func() planner.Plan { return planner.Plan{Watch: planner.Primary} }
		go func() { _ = d.Run(t.Context()) }()
		go func() { _ = d.Bootstrap(t.Context()) }()
		time.Sleep(peerDiscoveryDelay - time.Millisecond)
		store.update(func() {
			if store.cost.calls != 0 {
				t.Errorf("%d store calls before the peer discovery delay ended", store.cost.calls)
			}
		})
		time.Sleep(5 * time.Second)
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if !d.Ready() || a.Current().Tree.Version != 3 || d.activeRole != planner.Primary {
			t.Errorf("ready %v, version %s, role %s", d.Ready(), a.Current().Tree.Version, d.activeRole)
		}
	})
}

// TestRefused guards against a node that gets stuck at a version that it refuses.
// Later versions must come into force, and the refused entry must be forwarded.
func TestRefused(t *testing.T) {
	is := is.New(t)
	store := newStore()
	d, a := newIsolatedNode()
	a.Validate = func(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
		if strings.Contains(string(items["quoting/service/desk-3"]), ":3}") {
			return []sycamorerun.Fault{{Code: "test"}}
		}
		return nil
	}
	versions := []sycamorerun.Version{}
	for range 12 {
		d.ApplyCommitted(start, store.nextEntry())
		versions = append(versions, a.Current().Tree.Version)
	}
	is.Equal(versions, []sycamorerun.Version{1, 2, 2, 2, 2, 2, 2, 2, 2, 10, 11, 12})
	is.Equal(a.Current().Hash, store.hashes[12])
	_, ok := d.Entry(3)
	is.True(ok)
}

// TestOutdatedContent guards against late duplicates that return a node to a
// version before the one that it refused or that are forwarded again, and against
// a gap reported as damage, after which no pull would follow.
func TestOutdatedContent(t *testing.T) {
	cases := map[string]struct {
		offer func(d *Distributor, store *fakeStore, entries []sycamorerun.Entry) error
		err   error
	}{
		"entry in force":  {func(d *Distributor, _ *fakeStore, e []sycamorerun.Entry) error { return d.accept(start, e[1], nil, "") }, nil},
		"entry refused":   {func(d *Distributor, _ *fakeStore, e []sycamorerun.Entry) error { return d.accept(start, e[2], nil, "") }, nil},
		"entry after gap": {func(d *Distributor, _ *fakeStore, e []sycamorerun.Entry) error { return d.accept(start, e[4], nil, "") }, errGap},
		"tree in force": {func(d *Distributor, s *fakeStore, e []sycamorerun.Entry) error {
			tree := differ.Apply(sycamorerun.Tree{}, 1, e[0].Difference)
			return d.installSnapshot(start, tree, s.hashes[1], "")
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newStore()
			d, a := newIsolatedNode()
			a.Validate = func(map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
				return make([]sycamorerun.Fault, a.Current().Tree.Version/2)
			}
			entries := []sycamorerun.Entry{store.nextEntry(), store.nextEntry(), store.nextEntry(), store.nextEntry(), store.nextEntry()}
			for _, entry := range entries[:3] {
				d.ApplyCommitted(start, entry)
			}
			is.Equal(d.HeldVersion(), sycamorerun.Version(3))
			is.Equal(a.Current().Tree.Version, sycamorerun.Version(2))
			for len(d.wakePull) > 0 {
				<-d.wakePull
			}
			err := c.offer(d, store, entries)
			is.True(errors.Is(err, c.err))
			is.Equal(d.HeldVersion(), sycamorerun.Version(3))
			is.Equal(len(d.wakePull), 0) // nothing was forwarded
			a.Validate = nil
			d.ApplyCommitted(start, entries[3])
			is.Equal(a.Current().Hash, store.hashes[4])
		})
	}
}

// TestStaleLog guards against a node that continues to watch a store which has lost
// the version that the node has in force.
func TestStaleLog(t *testing.T) {
	older, _ := persister.EncodeEntry(sycamorerun.Entry{Version: 7})
	same, _ := persister.EncodeEntry(sycamorerun.Entry{Version: 7 + persister.RingSlots})
	later, _ := persister.EncodeEntry(sycamorerun.Entry{Version: 7 + 2*persister.RingSlots})
	cases := map[string]struct {
		object  persister.Object
		err     error
		stale   bool
		wrapped bool
	}{
		"slot of an older round": {persister.Object{Value: older, Revision: 3}, nil, true, false},
		"slot missing":           {persister.Object{}, persister.ErrMissing, true, false},
		"slot as expected":       {persister.Object{Value: same, Revision: 9}, nil, false, false},
		"slot of a later round":  {persister.Object{Value: later, Revision: 20}, nil, false, true},
		"store down":             {persister.Object{}, persister.ErrUnavailable, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _ := newIsolatedNode()
			d.Store.Get = func(context.Context, string) (persister.Object, error) { return c.object, c.err }
			revision, wrapped, err := d.entryRevision(t.Context(), 7+persister.RingSlots)
			is.Equal(errors.Is(err, errStale), c.stale)
			is.Equal(err == nil, !c.stale && c.err == nil)
			is.Equal(wrapped, c.wrapped)
			is.True(err != nil || revision == c.object.Revision)
		})
	}
}

// TestOddLogObjects guards against objects of another writer among those of the log
// that keep the nodes from the versions after them, and against skipping one that
// is in the slot of the next version.
func TestOddLogObjects(t *testing.T) {
	store := newStore()
	store.commit(4)
	fourth := store.history[3]
	renamed := fourth
	renamed.Key = "log/odd"
	cases := map[string]struct {
		odd persister.Object
		// stops is set if the node must not continue after the object.
		stops bool
	}{
		"no slot":            {persister.Object{Key: "log/odd", Value: []byte("\xff")}, false},
		"no value":           {persister.Object{Key: "log/odd"}, false},
		"beyond the ring":    {persister.Object{Key: "log/1024", Value: []byte("\xff")}, false},
		"other spelling":     {persister.Object{Key: "log/4", Value: []byte("\xff")}, false},
		"number too large":   {persister.Object{Key: "log/18446744073709551616", Value: []byte("\xff")}, false},
		"entry in no slot":   {renamed, false},
		"slot of held":       {persister.Object{Key: persister.LogKey(2), Value: []byte("\xff")}, false},
		"slot of an old one": {persister.Object{Key: persister.LogKey(1020), Value: nil}, false},
		"entry in old slot":  {persister.Object{Key: persister.LogKey(2), Value: fourth.Value}, false},
		"slot of the next":   {persister.Object{Key: persister.LogKey(4), Value: []byte("\xff")}, true},
		"slot of later":      {persister.Object{Key: persister.LogKey(9), Value: []byte("\xff")}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			odd, next := c.odd, fourth
			odd.Revision, next.Revision = 4, 5
			listing := persister.Listing{Revision: 5, Objects: []persister.Object{odd, next}}
			node := func() *Distributor {
				d, _ := newIsolatedNode()
				for _, object := range store.history[:3] {
					is.NoErr(d.acceptLogObject(start, object))
				}
				d.Store.List = func(context.Context, string, persister.Revision) (persister.Listing, error) { return listing, nil }
				return d
			}
			watching, reading := node(), node()
			revision, complete := watching.acceptListing(t.Context(), listing, false)
			is.Equal(complete, !c.stops)
			read, readComplete, err := reading.readLog(t.Context(), 3)
			is.Equal(err == nil && readComplete, !c.stops)
			if c.stops {
				return
			}
			is.Equal(revision, persister.Revision(5))
			is.Equal(read, persister.Revision(5))
			is.Equal(watching.HeldVersion(), sycamorerun.Version(4))
			is.Equal(reading.HeldVersion(), sycamorerun.Version(4))
		})
	}
}

// TestOddSnapshot guards against a snapshot that can't be decoded and keeps a starting
// node from the versions in the log.
func TestOddSnapshot(t *testing.T) {
	for name, value := range map[string][]byte{"empty": nil, "no message": []byte("\xff"), "text": []byte(`{"version":1e400}`)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newStore()
			store.commit(4)
			d, a := newIsolatedNode()
			d.Store.Get = func(_ context.Context, key string) (persister.Object, error) {
				is.Equal(key, persister.SnapshotKey)
				return persister.Object{Key: key, Value: value, Revision: 9}, nil
			}
			d.Store.List = func(context.Context, string, persister.Revision) (persister.Listing, error) {
				return persister.Listing{Objects: slices.Clone(store.history), Revision: 9}, nil
			}
			revision, err := d.syncLog(t.Context())
			is.NoErr(err)
			is.Equal(revision, persister.Revision(9))
			is.Equal(a.Current().Tree.Version, sycamorerun.Version(4))
		})
	}
}

// TestSlotOfOddKey guards against a standby that expects a new version because of an
// object in no slot.
func TestSlotOfOddKey(t *testing.T) {
	for _, key := range []string{"log/odd", "log/", "log/9", "log/00009", "log/1024", "log/+009", "log/-009", "log/18446744073709551616", "other/0009"} {
		is := is.New(t)
		is.Equal(slotVersion(key, 4), sycamorerun.Version(0))
	}
	is.New(t).Equal(slotVersion("log/0009", 4), sycamorerun.Version(9))
}

// TestDamaged guards against content that was corrupted in transit and still comes
// into force, including a changed version number, which the tree's hash does not
// cover.
func TestDamaged(t *testing.T) {
	store := newStore()
	entry := store.nextEntry()
	data, _ := persister.EncodeEntry(entry)
	later := entry
	later.Version = 2
	renumbered, _ := persister.EncodeEntry(later)
	cases := map[string]*Push{
		"sum":               {Version: 1, Entry: &Packed{Data: data, Sum: 1}},
		"truncated":         {Version: 1, Entry: pack(data[:len(data)-3])},
		"empty":             {Version: 1, Entry: pack(nil)},
		"version":           {Version: 1, Entry: pack(renumbered)},
		"version under sum": {Version: 1, Entry: &Packed{Data: renumbered, Sum: pack(data).GetSum()}},
		"nothing":           {Version: 1},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			d, a := newIsolatedNode()
			err := d.handlePush(start, "peer", message)
			is.New(t).True(err != nil)
			is.New(t).Equal(a.Current().Tree.Version, sycamorerun.Version(0))
		})
	}
}

// FuzzServe guards against peer input that causes a panic or a hang, or that puts
// content in force that was never accepted.
func FuzzServe(f *testing.F) {
	store := newStore()
	var frames []byte
	for range 3 {
		entry := store.nextEntry()
		data, _ := persister.EncodeEntry(entry)
		frames = append(frames, encodeFrame(newPush(entry.Version, data))...)
		frames = append(frames, encodeFrame(newWant(0, false))...)
	}
	f.Add(frames)
	for _, base := range []sycamorerun.Version{3, 4, 9} {
		entry := store.nextEntry()
		entry.Version, entry.Base = 9, base
		data, _ := persister.EncodeEntry(entry)
		f.Add(slices.Concat(frames, encodeFrame(newPush(9, data)), encodeFrame(newWant(3, false))))
	}
	tree := differ.Hash(store.tree.Items)
	data, _ := persister.EncodeSnapshot(store.tree, tree)
	f.Add(slices.Concat(encodeFrame(newHave(7, true)), encodeFrame(&Message{Kind: &Message_Survey{Survey: &Survey{}}}), []byte{0, 0, 0, 9, 1}))
	f.Add(encodeFrame(&Reply{Version: 3, Snapshot: pack(data)}))
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, input []byte) {
		d, a := newIsolatedNode()
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		go func() {
			_, _ = near.Write(input)
			_ = near.Close()
		}()
		d.Serve(context.Background(), "peer", far)
		if reply, err := readReply(bytes.NewReader(input)); err == nil {
			_ = d.acceptReply(start, "peer", reply)
		}
		if report, err := encoder.Read[Report](bytes.NewReader(input), surveyFrameBytes); err == nil {
			_ = toReport(fromReport(report))
		}
		if state := a.Current(); differ.Hash(state.Tree.Items) != state.Hash {
			t.Fatal("tree in force does not match its hash")
		}
	})
}
