package acceptor

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/persister"
)

// decision returns bob's change that approves or rejects proposal.
func decision(id string, kind sycamorerun.ChangeKind, proposal Proposal) sycamorerun.Change {
	return sycamorerun.Change{
		ID: id, Kind: kind, Team: "review", Operator: "bob",
		Proposal: proposal.ID, Content: proposal.Content,
	}
}

// TestReview guards against a proposal that is decided twice, that reappears
// after a crash between the commit and its removal, or whose id can't be looked
// up.
func TestReview(t *testing.T) {
	cases := map[string]struct {
		kind   sycamorerun.ChangeKind
		crash  bool
		status sycamorerun.Status
	}{
		"approve":                   {sycamorerun.Approve, false, sycamorerun.StatusAccepted},
		"approve, proposal remains": {sycamorerun.Approve, true, sycamorerun.StatusAccepted},
		"reject":                    {sycamorerun.Reject, false, sycamorerun.StatusRefused},
		"reject, proposal remains":  {sycamorerun.Reject, true, sycamorerun.StatusRefused},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			a, b := startAcceptor(t, f.store()), startAcceptor(t, f.store())
			a.Submit(t.Context(), bootstrap())
			f.setFault("put", persister.ProposalPrefix, 1, persister.ErrUnknown, true)
			is.Equal(a.Submit(t.Context(), apply("p", "review", 6)).Status, sycamorerun.StatusPending)
			is.Equal(b.Submit(t.Context(), apply("p", "review", 6)).Status, sycamorerun.StatusPending)
			is.Equal(b.Lookup(t.Context(), "p").Status, sycamorerun.StatusPending)
			pending, err := b.Proposals(t.Context(), "review")
			is.NoErr(err)
			is.Equal(len(pending), 1)
			if test.crash {
				f.setFault("delete", "", 1, persister.ErrUnavailable, false)
			}
			is.Equal(b.Submit(t.Context(), decision("d", test.kind, pending[0])).Version, sycamorerun.Version(2))
			is.Equal(a.Lookup(t.Context(), "p").Status, test.status)
			is.Equal(a.Lookup(t.Context(), "p").Version, sycamorerun.Version(2))
			is.Equal(a.Submit(t.Context(), apply("p", "review", 6)).Status, test.status)
			is.Equal(firstFaultCode(a.Submit(t.Context(), decision("e", sycamorerun.Approve, pending[0]))), "already-decided")
			pending, err = a.Proposals(t.Context(), "review")
			is.NoErr(err)
			is.Equal(len(pending), 0)
			_, applied := a.head.Items["review/service/desk"]
			is.Equal(applied, test.kind == sycamorerun.Approve)
			is.Equal(verifyLog(t, f, 2)["p"], sycamorerun.Version(2))
		})
	}
}

// TestProposalLimits guards against proposals that accumulate in the store
// without limit.
func TestProposalLimits(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := New(f.store())
	now := time.Unix(1000, 0)
	a.Now = func() time.Time { return now }
	submit := func(change sycamorerun.Change) sycamorerun.Outcome { return commitAll(t, a, change)[0] }
	submit(bootstrap())
	for i := range MaxProposals {
		is.Equal(submit(apply(fmt.Sprint(i), "review", i)).Status, sycamorerun.StatusPending)
	}
	is.Equal(firstFaultCode(submit(apply("more", "review", 1))), "too-many-proposals")
	now = now.Add(MaxProposalAge + 1)
	is.Equal(submit(apply("more", "review", 1)).Status, sycamorerun.StatusPending)
	pending, err := a.Proposals(t.Context(), "review")
	is.NoErr(err)
	is.Equal(len(pending), 1)
}

// TestRevert guards against a revert that restores the wrong content, both from
// the archive and from the log alone, and against a revert that needs thousands
// of reads.
func TestRevert(t *testing.T) {
	is := is.New(t)
	f := newFake()
	a := startAcceptor(t, f.store())
	a.Submit(t.Context(), bootstrap()) // version 1
	const last = 1400
	for i := 2; i <= last; i++ {
		// The snapshot and the archive of this interval are written late.
		switch i {
		case 768:
			f.setFault("put", persister.SnapshotKey, 1<<30, persister.ErrUnavailable, false)
		case 780:
			f.setFault("", "", 0, nil, true)
		}
		a.Submit(t.Context(), apply(fmt.Sprint(i), "flow", i))
	}
	cases := map[string]struct {
		target sycamorerun.Version
		code   string
	}{
		"newest":             {last, ""},
		"period in progress": {1300, ""},
		"on the archive":     {1280, ""},
		"before the archive": {1279, ""},
		"late archive":       {770, ""},
		"oldest reachable":   {512, ""},
		"out of the ring":    {200, "target-unknown"},
		"never":              {last + 100, "target-unknown"},
		"none":               {0, "target-unknown"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startAcceptor(t, f.store())
			b.Submit(t.Context(), apply("warm "+name, "other", int(test.target)))
			f.mu.Lock()
			before := f.calls["get"]
			f.mu.Unlock()
			outcome := b.Submit(t.Context(), sycamorerun.Change{ID: name, Kind: sycamorerun.Revert, Team: "flow", Operator: "ann", Target: test.target})
			is.Equal(firstFaultCode(outcome), test.code)
			f.mu.Lock()
			is.True(f.calls["get"]-before < 20)
			f.mu.Unlock()
			if test.code == "" {
				is.Equal(outcome.Status, sycamorerun.StatusAccepted)
				is.Equal(b.head.Items["flow/service/desk"], apply("", "flow", int(test.target)).Items["flow/service/desk"])
			}
		})
	}
}
