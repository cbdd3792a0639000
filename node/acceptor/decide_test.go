package acceptor

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/parser"
)

// TestDecide guards against a change that takes effect although a rule forbids it,
// and against a refusal without the right fault code.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	held := func(until time.Time) map[sycamorerun.Path]sycamorerun.Item {
		return map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(sycamorerun.Hold{Operator: "bob", Until: until})}
	}
	service := apply("", "flow", 6).Items
	ofKind := func(kind sycamorerun.ChangeKind, team string) sycamorerun.Change {
		return sycamorerun.Change{Kind: kind, Team: team, Operator: "ann", Proposal: "p"}
	}
	withBase := func(base sycamorerun.Version) sycamorerun.Change {
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
	withItem := func(path sycamorerun.Path, value sycamorerun.Item) sycamorerun.Change {
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
		"unknown kind":      {change: ofKind("delete", "flow"), status: sycamorerun.StatusRefused, code: "unknown-kind"},
		"id decided":        {change: apply("old", "flow", 6), status: sycamorerun.StatusAccepted},
		"other team's path": {change: withItem("other/service/desk", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"hold in a file":    {change: withItem("flow/hold", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"team by a team":    {change: withItem("flow/team/x", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"limits by a team":  {change: withItem("flow/limits", item(1)), status: sycamorerun.StatusRefused, code: "wrong-path"},
		"limits": {change: sycamorerun.Change{
			Kind: sycamorerun.Apply, Team: sycamorerun.AdminTeam,
			Items: map[sycamorerun.Path]sycamorerun.Item{sycamorerun.LimitsPath: sycamorerun.Item(`{}`)},
		}, status: sycamorerun.StatusAccepted},
		"invalid":    {change: withItem("flow/service/invalid", item(1)), status: sycamorerun.StatusRefused, code: "invalid"},
		"large item": {change: withItem("flow/service/x", item(strings.Repeat("x", parser.MaxItemBytes))), status: sycamorerun.StatusRefused, code: "too-large"},
		"review":     {change: apply("", "review", 6), status: sycamorerun.StatusPending},

		"same base":     {change: withBase(20), status: sycamorerun.StatusAccepted},
		"base":          {change: withBase(12), status: sycamorerun.StatusAccepted},
		"changed since": {change: withBase(11), status: sycamorerun.StatusConflict, code: "changed"},
		"old base":      {change: withBase(8), status: sycamorerun.StatusConflict, code: "base-too-old"},
		"future base":   {change: withBase(21), status: sycamorerun.StatusConflict, code: "base-unknown"},

		"held":                {tree: held(time.Time{}), change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"held until later":    {tree: held(now.Add(1)), change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"hold over":           {tree: held(now), change: apply("", "flow", 6), status: sycamorerun.StatusAccepted},
		"unreadable hold":     {tree: map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(1)}, change: apply("", "flow", 6), status: sycamorerun.StatusRefused, code: "held"},
		"hold":                {change: ofKind(sycamorerun.PlaceHold, "flow"), status: sycamorerun.StatusAccepted},
		"hold twice":          {tree: held(time.Time{}), change: ofKind(sycamorerun.PlaceHold, "flow"), status: sycamorerun.StatusRefused, code: "held"},
		"hold ended":          {change: sycamorerun.Change{Kind: sycamorerun.PlaceHold, Team: "flow", Hold: sycamorerun.Hold{Until: now}}, status: sycamorerun.StatusRefused, code: "bad-until"},
		"release":             {tree: held(now), change: ofKind(sycamorerun.ReleaseHold, "flow"), status: sycamorerun.StatusAccepted},
		"release without":     {change: ofKind(sycamorerun.ReleaseHold, "flow"), status: sycamorerun.StatusRefused, code: "not-held"},
		"hold not reviewed":   {change: ofKind(sycamorerun.PlaceHold, "review"), status: sycamorerun.StatusAccepted},
		"revert":              {change: ofKind(sycamorerun.Revert, "flow"), target: service, status: sycamorerun.StatusAccepted},
		"revert out of reach": {change: ofKind(sycamorerun.Revert, "flow"), status: sycamorerun.StatusRefused, code: "target-unknown"},
		"revert while held":   {tree: held(time.Time{}), change: ofKind(sycamorerun.Revert, "flow"), target: service, status: sycamorerun.StatusRefused, code: "held"},
		"revert reviewed":     {change: ofKind(sycamorerun.Revert, "review"), target: service, status: sycamorerun.StatusPending},

		"approve":            {change: ofKind(sycamorerun.Approve, "review"), proposal: proposal("bob", 0), status: sycamorerun.StatusAccepted},
		"approve own":        {change: ofKind(sycamorerun.Approve, "review"), proposal: proposal("ann", 0), status: sycamorerun.StatusRefused, code: "own-proposal"},
		"approve expired":    {change: ofKind(sycamorerun.Approve, "review"), proposal: proposal("bob", MaxProposalAge+1), status: sycamorerun.StatusRefused, code: "proposal-expired"},
		"approve missing":    {change: ofKind(sycamorerun.Approve, "review"), status: sycamorerun.StatusRefused, code: "no-such-proposal"},
		"approve other hash": {change: sycamorerun.Change{Kind: sycamorerun.Approve, Team: "review", Proposal: "p", Content: sycamorerun.Hash{1}}, proposal: proposal("bob", 0), status: sycamorerun.StatusRefused, code: "wrong-content"},
		"approve changed":    {tree: apply("", "review", 9).Items, change: ofKind(sycamorerun.Approve, "review"), proposal: proposal("bob", 0), status: sycamorerun.StatusConflict, code: "changed"},
		"approve decided":    {change: sycamorerun.Change{Kind: sycamorerun.Approve, Team: "review", Proposal: "old"}, proposal: proposal("bob", 0), status: sycamorerun.StatusRefused, code: "already-decided"},
		"reject own":         {change: ofKind(sycamorerun.Reject, "review"), proposal: proposal("ann", 0), status: sycamorerun.StatusAccepted},
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
				Tree:        sycamorerun.Tree{Version: 20, Items: bootstrap().Items},
				OldestBase:  9,
				LastChanged: map[sycamorerun.Path]sycamorerun.Version{"flow/service/desk": 12, "other/service/desk": 19, "flow/hold": 18},
				Decided: func(id string) (sycamorerun.Outcome, bool) {
					return recordedChange{version: 11}.outcome(id), id == "old"
				},
			}
			maps.Copy(view.Tree.Items, test.tree)
			verdict := rules.Decide(now, view, Request{Change: test.change, Target: test.target, Proposal: test.proposal})
			is.Equal(verdict.Outcome.Status, test.status)
			is.Equal(firstFaultCode(verdict.Outcome), test.code)
			is.Equal(verdict.Proposal != nil, test.status == sycamorerun.StatusPending)
			committed := test.status == sycamorerun.StatusAccepted && test.change.ID != "old"
			is.Equal(len(verdict.Records) > 0, committed)
			if committed {
				is.Equal(verdict.Outcome.Version, sycamorerun.Version(21))
				// Paths outside the team's subtree must not change.
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

// TestApplyKeepsHold guards against a settings file that removes the team's hold,
// which is not part of the file.
func TestApplyKeepsHold(t *testing.T) {
	is := is.New(t)
	before := sycamorerun.Tree{Items: map[sycamorerun.Path]sycamorerun.Item{"flow/hold": item(1), "flow/service/gone": item(2)}}
	after := newSubtree(time.Unix(0, 0), View{Tree: before}, Request{Change: apply("", "flow", 6)})
	is.Equal(len(after), 2)
	is.Equal(after["flow/hold"], item(1))
}
