package applier

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sycamorerun"
	"sycamorerun/differ"
)

var start = time.Unix(1_800_000_000, 0)

const (
	service = sycamorerun.Path("quoting/service/quote-desk")
	route   = sycamorerun.Path("quoting/route/quotes")
)

var valid = map[sycamorerun.Path]sycamorerun.Item{
	service: sycamorerun.Item(`{"slots":6}`),
	route:   sycamorerun.Item(`{"prefix":"/","split":[{"service":"quote-desk","weight":1}]}`),
}

func entry(base sycamorerun.Tree, difference sycamorerun.Difference) sycamorerun.Entry {
	next := differ.Apply(base, base.Version+1, difference)
	return sycamorerun.Entry{Version: next.Version, Hash: differ.Hash(next.Items), Difference: difference}
}

// TestRefusal guards against a bad version replacing a good one, in part or in
// full, and against a refusal missing from the status.
func TestRefusal(t *testing.T) {
	first := entry(sycamorerun.Tree{}, sycamorerun.Difference{Put: valid})
	base := differ.Apply(sycamorerun.Tree{}, 1, first.Difference)
	corrupt := entry(base, sycamorerun.Difference{Put: map[sycamorerun.Path]sycamorerun.Item{service: sycamorerun.Item(`{"slots":7}`)}})
	corrupt.Hash[0]++
	gap := first
	gap.Version = 3
	cases := map[string]struct {
		entry    sycamorerun.Entry
		validate []sycamorerun.Fault
		err      error
		refused  int
	}{
		"route without its service": {entry(base, sycamorerun.Difference{Remove: []sycamorerun.Path{service}}), nil, ErrInvalid, 1},
		"validation fault":          {entry(base, sycamorerun.Difference{}), []sycamorerun.Fault{{Path: "p", Reason: "r"}}, ErrInvalid, 1},
		"wrong hash":                {corrupt, nil, ErrCorrupt, 1},
		"gap":                       {gap, nil, ErrGap, 0},
		"same version":              {first, nil, nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &Applier{}
			is.NoErr(a.Apply(start, first))
			before := a.Current()
			a.Validate = func(map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault { return c.validate }
			err := a.Apply(start.Add(time.Second), c.entry)
			is.True(errors.Is(err, c.err))
			is.True(a.Current() == before)
			status := a.Status()
			is.Equal(status.Refused, c.refused)
			is.Equal(status.Refusal != nil, c.refused > 0)
			if status.Refusal != nil {
				is.Equal(status.Refusal.Time, start.Add(time.Second))
				is.Equal(status.Refusal.Version, sycamorerun.Version(2))
			}
			a.Validate = nil
			is.NoErr(a.Install(start, sycamorerun.Tree{Version: 9, Items: valid}, differ.Hash(valid)))
			is.True(a.Status().Refusal == nil)
			is.NoErr(a.Install(start, sycamorerun.Tree{Version: 8}, differ.Hash(nil)))
			is.Equal(a.Current().Tree.Version, sycamorerun.Version(9))
		})
	}
}

// TestVersionNeverDecreases guards against a decreasing version, and against a tree
// that differs from the accepted one, under any order of entries, snapshots and
// corrupt copies.
func TestVersionNeverDecreases(t *testing.T) {
	history := []sycamorerun.Tree{{}}
	entries := []sycamorerun.Entry{{}}
	for i := range 12 {
		items := map[sycamorerun.Path]sycamorerun.Item{service: sycamorerun.Item(`{"slots":` + string(rune('1'+i%9)) + `}`)}
		if i%3 == 0 {
			items[route] = valid[route]
		}
		last := history[len(history)-1]
		next := entry(last, differ.Compare(last.Items, items))
		entries = append(entries, next)
		history = append(history, differ.Apply(last, next.Version, next.Difference))
	}
	rapid.Check(t, func(t *rapid.T) {
		last := sycamorerun.Version(0)
		a := &Applier{Changed: func(state State) {
			if state.Tree.Version <= last {
				t.Fatalf("version %s came into force after version %s", state.Tree.Version, last)
			}
			last = state.Tree.Version
		}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(1, len(entries)-1).Draw(t, "version")
			next, tree := entries[i], history[i]
			if rapid.IntRange(0, 4).Draw(t, "corrupt") == 0 {
				next.Hash[3]++
				tree = sycamorerun.Tree{Version: tree.Version, Items: valid}
			}
			if rapid.Bool().Draw(t, "snapshot") {
				_ = a.Install(start, tree, next.Hash)
			} else {
				_ = a.Apply(start, next)
			}
			current := a.Current()
			if differ.Hash(current.Tree.Items) != hashOf(entries, current.Tree.Version) || current.Tree.Version != last {
				t.Fatalf("tree of version %s differs from the accepted tree", current.Tree.Version)
			}
			if current.Table.Version() != current.Tree.Version {
				t.Fatal("routing table and tree have different versions")
			}
		}
	})
}

// hashOf returns the hash of the accepted tree of a version.
func hashOf(entries []sycamorerun.Entry, version sycamorerun.Version) sycamorerun.Hash {
	if version == 0 {
		return differ.Hash(nil)
	}
	return entries[version].Hash
}

// TestConcurrent guards, under the race detector, against readers that see a
// partial state, and against a writer that replaces a newer version because the
// version check and the swap are not atomic.
func TestConcurrent(t *testing.T) {
	last := sycamorerun.Version(0)
	a := &Applier{
		Validate: func(map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
			time.Sleep(time.Microsecond) // lets other writers run
			return nil
		},
		Changed: func(state State) {
			if state.Tree.Version <= last {
				t.Errorf("version %s came into force after version %s", state.Tree.Version, last)
			}
			last = state.Tree.Version
		},
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for version := range sycamorerun.Version(50) {
				_ = a.Install(start, sycamorerun.Tree{Version: version + 1, Items: valid}, differ.Hash(valid))
				if state := a.Current(); state.Table.Version() != state.Tree.Version {
					t.Error("routing table and tree have different versions")
				}
			}
		})
	}
	group.Wait()
	is.New(t).Equal(a.Current().Tree.Version, sycamorerun.Version(50))
}
