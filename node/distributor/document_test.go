package distributor

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

// writeDocument writes a version of the document, in which one of 300 services
// changes.
func (s *fakeStore) writeDocument(version sycamorerun.Version) (tree sycamorerun.Tree) {
	put := map[sycamorerun.Path]sycamorerun.Item{"quoting/service/desk": sycamorerun.Item(fmt.Sprintf(`{"slots":%d}`, version))}
	s.update(func() {
		for i := 0; s.tree.Version == 0 && i < 300; i++ {
			put[sycamorerun.NewPath("quoting", sycamorerun.KindService, fmt.Sprintf("s-%d", i))] = sycamorerun.Item(fmt.Sprintf(`{"slots":%d}`, i*7919%1000+1))
		}
		s.revision++
		s.tree = differ.Apply(s.tree, version, sycamorerun.Difference{Put: put})
		s.hashes[version] = differ.Hash(s.tree.Items)
		tree = s.tree
	})
	return tree
}

// copyDocument returns a function that restores the store to the current document
// and revision.
func (s *fakeStore) copyDocument() (restore func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	tree, revision := s.tree, s.revision
	return func() {
		s.update(func() { s.tree, s.revision, s.era = tree, revision, s.era+1 })
	}
}

// TestEntryChain guards against a node that returns to an older version, applies a
// version partially, or makes the nodes below it pull a snapshot, when entries of
// several watchers are based on different versions.
func TestEntryChain(t *testing.T) {
	s, trees := newStore(), map[sycamorerun.Version]sycamorerun.Tree{}
	for _, version := range []sycamorerun.Version{3, 7, 12, 20} {
		trees[version] = s.writeDocument(version)
	}
	entry := func(base, version sycamorerun.Version) sycamorerun.Entry {
		difference := differ.Compare(trees[base].Items, trees[version].Items)
		return sycamorerun.Entry{Version: version, Base: base, Hash: s.hashes[version], Difference: difference}
	}
	damaged := entry(12, 20)
	damaged.Hash[0]++
	type versions = []sycamorerun.Version
	type entries = []sycamorerun.Entry
	cases := map[string]struct {
		held    versions
		entries entries
		want    sycamorerun.Version
		err     bool
	}{
		"chain with gaps":             {versions{3}, entries{entry(3, 7), entry(7, 12)}, 12, false},
		"base missing":                {versions{3}, entries{entry(7, 12)}, 3, true},
		"base is an earlier version":  {versions{3, 7}, entries{entry(3, 12)}, 12, false},
		"same version from two bases": {versions{3, 7}, entries{entry(3, 12), entry(7, 12), entry(12, 20)}, 20, false},
		"older version":               {versions{3, 7, 12}, entries{entry(3, 7)}, 12, false},
		"damaged":                     {versions{3, 7, 12}, entries{damaged}, 12, true},
		"base never held":             {versions{7}, entries{entry(3, 12)}, 7, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, a := newIsolatedNode()
			follower, b := newIsolatedNode()
			d.Document, follower.Document = &Document{}, &Document{}
			for _, version := range c.held {
				is.NoErr(d.acceptDocument(start, trees[version]))
			}
			is.NoErr(d.acceptDocument(start, trees[3])) // a stale response of the store
			failed := false
			for _, e := range c.entries {
				data, _ := persister.EncodeEntry(e)
				failed = d.accept(start, e, data, "peer") != nil || failed
			}
			is.Equal(failed, c.err)
			is.Equal(a.Current().Tree.Version, c.want)
			for _, newest := range d.Entries(1) {
				is.Equal(newest.Version, c.want)
			}
			is.Equal(differ.Hash(a.Current().Tree.Items), s.hashes[c.want])
			// A node at the first version receives entries up to the newest.
			is.NoErr(follower.acceptDocument(start, trees[c.held[0]]))
			reply, _ := d.buildReply(c.held[0], false)
			is.True(reply.GetSnapshot() == nil)
			is.NoErr(follower.acceptReply(start, "peer", reply))
			is.Equal(b.Current().Tree.Version, c.want)
		})
	}
}

// TestWatchDocument guards against a watch that ends, runs in a busy loop or misses
// a version after any response of the store.
func TestWatchDocument(t *testing.T) {
	type answer struct {
		version sycamorerun.Version
		err     error
	}
	errSilent := context.DeadlineExceeded
	two, nine, compacted := answer{version: 2}, answer{version: 9}, answer{err: persister.ErrCompacted}
	unusable := answer{err: ErrUnusable}
	missing, unavailable, silent := answer{err: persister.ErrMissing}, answer{err: persister.ErrUnavailable}, answer{err: errSilent}
	type answers = []answer
	cases := map[string]struct {
		reads, watches answers
		want           sycamorerun.Version
		within         time.Duration
		calls          int
		distance       int
	}{
		"gap":         {answers{two}, answers{nine}, 9, time.Second, 4, 1},
		"stale watch": {answers{two}, answers{{version: 1}, nine}, 9, time.Second, 5, 1},
		"compacted":   {answers{two, nine}, answers{compacted}, 9, time.Second, 5, 1},
		// Each round has two reads and two watches and is followed by a delay of 1 s.
		"compacted forever": {answers{two}, slices.Repeat(answers{compacted}, 100), 2, 10 * time.Second, 48, 1},
		"stale read":        {answers{two, {version: 1}}, answers{compacted, nine}, 9, time.Second, 6, 1},
		// A delay of 1 s follows each unusable version.
		"unusable":               {answers{two}, answers{unusable, unusable, nine}, 9, 2 * time.Second, 6, 1},
		"unusable forever":       {answers{two}, slices.Repeat(answers{unusable}, 100), 2, 10 * time.Second, 15, 1},
		"unusable read":          {answers{unusable, two}, answers{nine}, 9, 3 * time.Second, 7, 1},
		"unusable after another": {answers{two}, answers{{9, ErrUnusable}}, 9, time.Second, 4, 1},
		"unavailable":            {answers{two}, answers{unavailable, nine}, 9, time.Second, 5, 1},
		"down":                   {answers{two}, slices.Repeat(answers{unavailable}, 100), 2, 10 * time.Second, 60, sycamorerun.Unreachable},
		"silent connection":      {answers{two}, answers{silent, nine}, 9, 5 * time.Second, 5, 1},
		// The second watch has not ended yet.
		"silent store":    {answers{two}, answers{silent, silent}, 2, 5 * time.Second, 5, sycamorerun.Unreachable},
		"never answering": {answers{silent, silent, nine}, nil, 9, 10 * time.Second, 7, 1},
		"no document yet": {answers{missing, missing, nine}, nil, 9, 3 * time.Second, 10, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, a := newIsolatedNode()
				calls, distance := 0, 0
				next := func(ctx context.Context, list *answers) (answer, bool) {
					calls++
					if len(*list) == 0 {
						return answer{}, false
					}
					found := (*list)[0]
					if *list = (*list)[1:]; found.err == errSilent {
						<-ctx.Done()
					}
					return found, true
				}
				d.Document = &Document{
					Read: func(ctx context.Context) (sycamorerun.Tree, persister.Position, error) {
						found, ok := next(ctx, &c.reads)
						if !ok {
							found = two
						}
						return sycamorerun.Tree{Version: found.version}, persister.Position{Revision: 1}, found.err
					},
					Watch: func(ctx context.Context, after persister.Position) (sycamorerun.Tree, persister.Position, bool, error) {
						found, ok := next(ctx, &c.watches)
						if !ok {
							sleep(ctx, 2500*time.Millisecond)
						}
						return sycamorerun.Tree{Version: found.version}, persister.Position{Revision: after.Revision + 1}, ok, found.err
					},
				}
				d.PublishDistance = func(_ time.Time, measured int) { distance = measured }
				d.Plan = func() planner.Plan { return planner.Plan{Watch: planner.Primary} }
				go func() { _ = d.Run(t.Context()) }()
				go func() { _ = d.Bootstrap(t.Context()) }()
				time.Sleep(documentPeerWait + documentPeerWait/2 + documentRoundPause + c.within)
				synctest.Wait()
				if held := a.Current().Tree.Version; held != c.want || calls > c.calls || distance != c.distance {
					t.Errorf("version %s in force after %d store calls, distance %d", held, calls, distance)
				}
			})
		})
	}
}
