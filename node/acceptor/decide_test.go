package acceptor

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
)

// Guards against a change that takes effect although a rule forbids it, and
// against an outcome that does not say why.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	held := func(until time.Time) map[sycamorerun.Path]sycamorerun.Item {
		return map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(sycamorerun.Hold{Operator: "bob", Until: until})}
	}
	desk := apply("", "flow", 6).Items
	kind := func(kind sycamorerun.ChangeKind, team string) sycamorerun.Change {
		return sycamorerun.Change{Kind: kind, Team: team, Operator: "ann", Proposal: "p"}
	}
	based := func(base sycamorerun.Version) sycamorerun.Change {
		change := apply("", "flow", 7)
		change.Base = base
		return change
	}
	proposal := func(operator string, age time.Duration) *Proposal {
		return &Proposal{
			ID: "p", Team: "review", Operator: operator, Time: now.Add(-age),
			Base: differ.Hash(nil), Items: apply("", "review", 1).Items,
		}
	}
	with := func(path sycamorerun.Path, value sycamorerun.Item) sycamorerun.Change {
		change := apply("", "flow", 6)
		change.Items[path] = value
		return change
	}
	cases := map[string]struct {
		tree     map[sycamorerun.Path]sycamorerun.Item
		change   sycamorerun.Change
		target   map[sycamorerun.Path]sycamorerun.Item
		proposal *Proposal
		status   sycamorerun.Status
		code     string
	}{
		"apply":             {change: apply("", "flow", 6), status: sycamorerun.StatusAccepted},
		"unknown team":      {change: apply("", "nobody", 6), status: sycamorerun.StatusRefused, code: "no-such-team"},
		"unknown kind":      {change: kind("delete", "flow"), status: sycamorerun.StatusRefused, code: "unknown-kind"},
		"id decided":        {change: apply("old", "flow", 6), status: sycamorerun.StatusAccepted},
		"other team's path": {change: with("other/service/desk", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"hold in a file":    {change: with("flow/hold", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"team by a team":    {change: with("flow/team/x", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"limits by a team":  {change: with("flow/limits", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"limits": {change: sycamorerun.Change{
			Kind: sycamorerun.Apply, Team: sycamorerun.AdminTeam,
			Items: map[sycamorerun.Path]sycamorerun.Item{sycamorerun.LimitsPath: sycamorerun.Item(`{}`)},
		}, status: sycamorerun.StatusAccepted},
		"invalid":    {change: with("flow/service/invalid", item(1)), status: sycamorerun.StatusRefused, code: "invalid"},
		"large item": {change: with("flow/service/x", item(strings.Repeat("x", MaxItemBytes))), status: sycamorerun.StatusRefused, code: "too-large"},
		"review":     {change: apply("", "review", 6), status: sycamorerun.StatusPending},

		"same base":     {change: based(20), status: sycamorerun.StatusAccepted},
		"base":          {change: based(12), status: sycamorerun.StatusAccepted},
		"changed since": {change: based(11), status: sycamorerun.StatusConflict, code: "changed"},
		"old base":      {change: based(8), status: sycamorerun.StatusConflict, code: "base-too-old"},
		"future base":   {change: based(21), status: sycamorerun.StatusConflict, code: "base-unknown"},

		"held":                {tree: held(time.Time{}), change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"held until later":    {tree: held(now.Add(1)), change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"hold over":           {tree: held(now), change: apply("", "flow", 6), status: sycamorerun.StatusAccepted},
		"unreadable hold":     {tree: map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(1)}, change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"hold":                {change: kind(sycamorerun.PlaceHold, "flow"), status: sycamorerun.StatusAccepted},
		"hold twice":          {tree: held(time.Time{}), change: kind(sycamorerun.PlaceHold, "flow"), status: sycamorerun.StatusRefused, code: "held"},
		"hold ended":          {change: sycamorerun.Change{Kind: sycamorerun.PlaceHold, Team: "flow", Hold: sycamorerun.Hold{Until: now}}, status: sycamorerun.StatusRefused, code: "bad-until"},
		"release":             {tree: held(now), change: kind(sycamorerun.ReleaseHold, "flow"), status: sycamorerun.StatusAccepted},
		"release without":     {change: kind(sycamorerun.ReleaseHold, "flow"), status: sycamorerun.StatusRefused, code: "not-held"},
		"hold not reviewed":   {change: kind(sycamorerun.PlaceHold, "review"), status: sycamorerun.StatusAccepted},
		"revert":              {change: kind(sycamorerun.Revert, "flow"), target: desk, status: sycamorerun.StatusAccepted},
		"revert out of reach": {change: kind(sycamorerun.Revert, "flow"), status: sycamorerun.StatusRefused, code: "target-unknown"},
		"revert while held":   {tree: held(time.Time{}), change: kind(sycamorerun.Revert, "flow"), target: desk, status: sycamorerun.StatusRefused, code: "held"},
		"revert reviewed":     {change: kind(sycamorerun.Revert, "review"), target: desk, status: sycamorerun.StatusPending},

		"approve":            {change: kind(sycamorerun.Approve, "review"), proposal: proposal("bob", 0), status: sycamorerun.StatusAccepted},
		"approve own":        {change: kind(sycamorerun.Approve, "review"), proposal: proposal("ann", 0), status: sycamorerun.StatusRefused, code: "own-proposal"},
		"approve expired":    {change: kind(sycamorerun.Approve, "review"), proposal: proposal("bob", MaxAge+1), status: sycamorerun.StatusRefused, code: "proposal-expired"},
		"approve missing":    {change: kind(sycamorerun.Approve, "review"), status: sycamorerun.StatusRefused, code: "no-such-proposal"},
		"approve other hash": {change: sycamorerun.Change{Kind: sycamorerun.Approve, Team: "review", Proposal: "p", Content: sycamorerun.Hash{1}}, proposal: proposal("bob", 0), status: sycamorerun.StatusRefused, code: "wrong-content"},
		"approve changed":    {tree: apply("", "review", 9).Items, change: kind(sycamorerun.Approve, "review"), proposal: proposal("bob", 0), status: sycamorerun.StatusConflict, code: "changed"},
		"approve decided":    {change: sycamorerun.Change{Kind: sycamorerun.Approve, Team: "review", Proposal: "old"}, proposal: proposal("bob", 0), status: sycamorerun.StatusRefused, code: "already-decided"},
		"reject own":         {change: kind(sycamorerun.Reject, "review"), proposal: proposal("ann", 0), status: sycamorerun.StatusAccepted},
	}
	rules := Rules{Validate: func(tree sycamorerun.Tree) (faults []sycamorerun.Fault) {
		if _, found := tree.Items["flow/service/invalid"]; found {
			faults = append(faults, sycamorerun.Fault{Code: "invalid"})
		}
		return faults
	}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := View{
				Tree:    sycamorerun.Tree{Version: 20, Items: bootstrap().Items},
				Oldest:  9,
				Changed: map[sycamorerun.Path]sycamorerun.Version{"flow/service/desk": 12, "other/service/desk": 19, "flow/hold": 18},
				Decided: func(id string) (sycamorerun.Outcome, bool) { return decided{version: 11}.outcome(id), id == "old" },
			}
			maps.Copy(view.Tree.Items, test.tree)
			verdict := rules.Decide(now, view, Request{Change: test.change, Target: test.target, Proposal: test.proposal})
			is.Equal(verdict.Outcome.Status, test.status)
			is.Equal(code(verdict.Outcome), test.code)
			is.Equal(verdict.Proposal != nil, test.status == sycamorerun.StatusPending)
			fresh := test.status == sycamorerun.StatusAccepted && test.change.ID != "old"
			is.Equal(len(verdict.Records) > 0, fresh)
			if fresh {
				is.Equal(verdict.Outcome.Version, sycamorerun.Version(21))
				// Nothing outside the team's subtree changes.
				difference := differ.Compare(view.Tree.Items, verdict.Items)
				for path := range difference.Put {
					is.Equal(path.Team(), test.change.Team)
				}
				for _, path := range difference.Remove {
					is.Equal(path.Team(), test.change.Team)
				}
				is.Equal(difference, verdict.Difference)
			}
		})
	}
}

// Guards against a settings file that removes the team's hold with the rest.
func TestApplyKeepsHold(t *testing.T) {
	is := is.New(t)
	before := sycamorerun.Tree{Items: map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(1), "flow/service/gone": item(2)}}
	after := subtree(time.Unix(0, 0), View{Tree: before}, Request{Change: apply("", "flow", 6)})
	is.Equal(len(after), 2)
	is.Equal(after["flow/hold"], item(1))
}
