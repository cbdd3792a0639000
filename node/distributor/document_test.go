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

// paper is a fake of the operators' document.
type paper struct{ *fakeStore }

// edit writes a version with one changed service of a tree of some size.
func (p paper) edit(version sycamorerun.Version) sycamorerun.Tree {
	p.set(func() { p.tree = p.next(version) })
	return p.tree
}

func (p paper) next(version sycamorerun.Version) sycamorerun.Tree {
	put := map[sycamorerun.Path]sycamorerun.Item{"quoting/service/desk": sycamorerun.Item(fmt.Sprintf(`{"slots":%d}`, version))}
	if p.tree.Version == 0 {
		for i := range 300 {
			path := sycamorerun.NewPath("quoting", sycamorerun.KindService, fmt.Sprintf("s-%d", i))
			put[path] = sycamorerun.Item(fmt.Sprintf(`{"slots":%d,"queue":%d}`, i%1024+1, i*7919%1000))
		}
	}
	p.revision++
	tree := differ.Apply(p.tree, version, sycamorerun.Difference{Put: put})
	p.hashes[version] = differ.Hash(tree.Items)
	return tree
}

// fault is what a node's store does instead of answering.
type fault int

const (
	none fault = iota
	rejects
	silent
)

// document returns the calls as seen from a node that is delay away.
func (p paper) document(delay time.Duration, fault func() fault) *Document {
	call := func(ctx context.Context) error {
		p.set(func() { p.cost.calls++ })
		time.Sleep(delay)
		switch fault() {
		case rejects:
			return persister.ErrUnavailable
		case silent:
			<-ctx.Done()
			return ctx.Err()
		}
		return ctx.Err()
	}
	look := func() (tree sycamorerun.Tree, revision persister.Revision, changed chan struct{}) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.tree, p.revision, p.changed
	}
	return &Document{
		Read: func(ctx context.Context) (sycamorerun.Tree, persister.Revision, error) {
			if err := call(ctx); err != nil {
				return sycamorerun.Tree{}, 0, err
			}
			tree, revision, _ := look()
			if tree.Version == 0 {
				return tree, 0, persister.ErrMissing
			}
			return tree, revision, nil
		},
		Watch: func(ctx context.Context, after persister.Revision) (sycamorerun.Tree, persister.Revision, bool, error) {
			if err := call(ctx); err != nil {
				return sycamorerun.Tree{}, 0, false, err
			}
			timeout := time.After(2500 * time.Millisecond)
			for {
				tree, revision, changed := look()
				if revision > after {
					return tree, revision, true, nil
				}
				select {
				case <-changed:
				case <-timeout:
					return sycamorerun.Tree{}, after, false, nil
				case <-ctx.Done():
					return sycamorerun.Tree{}, 0, false, ctx.Err()
				}
				// An answer is lost when the fault begins during the wait.
				if fault() == silent {
					<-ctx.Done()
					return sycamorerun.Tree{}, 0, false, ctx.Err()
				}
			}
		},
	}
}

// TestChain guards against a node that goes back, that puts a version in force
// in part, or that lets the nodes below it pull a snapshot, when watchers build
// on different versions.
func TestChain(t *testing.T) {
	p := paper{newStore()}
	trees := map[sycamorerun.Version]sycamorerun.Tree{}
	for _, version := range []sycamorerun.Version{3, 7, 12, 20} {
		trees[version] = p.edit(version)
	}
	entry := func(base, version sycamorerun.Version) sycamorerun.Entry {
		return sycamorerun.Entry{
			Version: version, Base: base, Hash: p.hashes[version],
			Difference: differ.Compare(trees[base].Items, trees[version].Items),
		}
	}
	damaged := entry(12, 20)
	damaged.Hash[0]++
	cases := map[string]struct {
		held    []sycamorerun.Version
		entries []sycamorerun.Entry
		want    sycamorerun.Version
		err     bool
		chained bool
	}{
		"chain with gaps":              {[]sycamorerun.Version{3}, []sycamorerun.Entry{entry(3, 7), entry(7, 12)}, 12, false, true},
		"base missing":                 {[]sycamorerun.Version{3}, []sycamorerun.Entry{entry(7, 12)}, 3, true, true},
		"base is the version before":   {[]sycamorerun.Version{3, 7}, []sycamorerun.Entry{entry(3, 12)}, 12, false, true},
		"same version from two bases":  {[]sycamorerun.Version{3, 7}, []sycamorerun.Entry{entry(3, 12), entry(7, 12), entry(12, 20)}, 20, false, true},
		"older version":                {[]sycamorerun.Version{3, 7, 12}, []sycamorerun.Entry{entry(3, 7)}, 12, false, true},
		"damaged":                      {[]sycamorerun.Version{3, 7, 12}, []sycamorerun.Entry{damaged}, 12, true, true},
		"base of another node's start": {[]sycamorerun.Version{7}, []sycamorerun.Entry{entry(3, 12)}, 7, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, a := solo()
			d.Document = &Document{}
			for _, version := range c.held {
				is.NoErr(d.take(start, trees[version]))
			}
			is.NoErr(d.take(start, trees[3])) // stale answers of the store
			var err error
			for _, e := range c.entries {
				data, _ := persister.EncodeEntry(e)
				if failed := d.accept(start, e, data, "peer"); failed != nil {
					err = failed
				}
			}
			is.Equal(err != nil, c.err)
			is.Equal(a.Current().Tree.Version, c.want)
			is.Equal(differ.Hash(a.Current().Tree.Items), p.hashes[c.want])
			if c.want == c.held[0] {
				return
			}
			// A node at the first version gets entries that lead to the newest.
			follower, b := solo()
			follower.Document = &Document{}
			is.NoErr(follower.take(start, trees[c.held[0]]))
			reply, _ := d.reply(c.held[0], false)
			is.True(reply.GetSnapshot() == nil)
			is.NoErr(follower.absorb(start, "peer", reply))
			is.Equal(b.Current().Tree.Version, c.want)
		})
	}
}

// TestWatchDocument guards against a watch that ends, loops without a pause or
// misses a version after any answer of the store.
func TestWatchDocument(t *testing.T) {
	type answer struct {
		version sycamorerun.Version
		err     error
		delay   time.Duration
	}
	const hang = time.Hour
	cases := map[string]struct {
		reads, watches []answer
		want           sycamorerun.Version
		within         time.Duration
		calls          int
		distance       int
	}{
		"gap":         {[]answer{{version: 2}}, []answer{{version: 9}}, 9, time.Second, 4, 1},
		"stale watch": {[]answer{{version: 5}}, []answer{{version: 4}, {version: 9}}, 9, time.Second, 5, 1},
		"compacted":   {[]answer{{version: 2}, {version: 9}}, []answer{{err: persister.ErrCompacted}}, 9, time.Second, 5, 1},
		// Two reads and two watches in each round, and 1 s between two rounds.
		"compacted forever": {[]answer{{version: 2}}, slices.Repeat([]answer{{err: persister.ErrCompacted}}, 100), 2, 10 * time.Second, 48, 1},
		"stale read":        {[]answer{{version: 5}, {version: 4}}, []answer{{err: persister.ErrCompacted}, {version: 9}}, 9, time.Second, 6, 1},
		"unavailable":       {[]answer{{version: 2}}, []answer{{err: persister.ErrUnavailable}, {version: 9}}, 9, time.Second, 5, 1},
		"down":              {[]answer{{version: 2}}, slices.Repeat([]answer{{err: persister.ErrUnavailable}}, 100), 2, 10 * time.Second, 60, sycamorerun.Unreachable},
		"silent connection": {[]answer{{version: 2}}, []answer{{delay: hang}, {version: 9}}, 9, 5 * time.Second, 5, 1},
		"never answering":   {[]answer{{delay: hang}, {delay: hang}, {version: 9}}, nil, 9, 10 * time.Second, 7, 1},
		"no document yet":   {[]answer{{err: persister.ErrMissing}, {err: persister.ErrMissing}, {version: 9}}, nil, 9, 3 * time.Second, 10, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, a := solo()
				calls, distance := 0, 0
				next := func(ctx context.Context, list *[]answer, last answer) answer {
					calls++
					found := last
					if len(*list) > 0 {
						found = (*list)[0]
						*list = (*list)[1:]
					}
					select {
					case <-time.After(found.delay):
					case <-ctx.Done():
						found.err = ctx.Err()
					}
					return found
				}
				d.Document = &Document{
					Read: func(ctx context.Context) (sycamorerun.Tree, persister.Revision, error) {
						found := next(ctx, &c.reads, answer{version: 2})
						return sycamorerun.Tree{Version: found.version}, 1, found.err
					},
					Watch: func(ctx context.Context, after persister.Revision) (sycamorerun.Tree, persister.Revision, bool, error) {
						found := next(ctx, &c.watches, answer{delay: 2500 * time.Millisecond})
						return sycamorerun.Tree{Version: found.version}, after + 1, found.version > 0, found.err
					},
				}
				d.Measure = func(_ time.Time, measured int) { distance = measured }
				d.Plan = func() planner.Plan { return planner.Plan{Watch: planner.Primary} }
				go func() { _ = d.Run(t.Context()) }()
				go func() { _ = d.Bootstrap(t.Context()) }()
				time.Sleep(documentPatience + documentPatience/2 + documentRound + c.within)
				synctest.Wait()
				if held := a.Current().Tree.Version; held != c.want || calls > c.calls || distance != c.distance {
					t.Errorf("version %s, %d calls, distance %d", held, calls, distance)
				}
			})
		})
	}
}
