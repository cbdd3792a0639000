package acceptor

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/differ"
)

// Request is a change with what its decision needs from the store.
type Request struct {
	Change sycamorerun.Change
	// Target is the team's subtree at Change.Target, for Revert; nil when
	// that version is out of reach.
	Target map[sycamorerun.Path]sycamorerun.Item
	// Proposal is the one that Approve and Reject name; nil when missing.
	Proposal *Proposal
}

// View is the state that a change would follow.
type View struct {
	// Tree is the state, Tree.Version the version before the next one.
	Tree sycamorerun.Tree
	// Oldest is the oldest base that Changed can be compared with.
	Oldest sycamorerun.Version
	// Changed holds the version of the last change of each path.
	Changed map[sycamorerun.Path]sycamorerun.Version
	// Decided tells how the change with an id ended.
	Decided func(id string) (sycamorerun.Outcome, bool)
}

// Verdict is a decision on a request.
type Verdict struct {
	Outcome sycamorerun.Outcome
	// Known means that the log already holds the outcome.
	Known bool
	// Items is the whole tree after an accepted change.
	Items map[sycamorerun.Path]sycamorerun.Item
	// Difference is that of the change alone.
	Difference sycamorerun.Difference
	// Records name the changes that the entry contains. They are empty when
	// nothing is to be committed.
	Records []sycamorerun.Accepted
	// Proposal is to be stored, for a pending outcome.
	Proposal *Proposal
}

// Rules decide on changes.
type Rules struct {
	// Validate returns the faults of a whole tree.
	Validate func(sycamorerun.Tree) []sycamorerun.Fault
}

// check returns an outcome when it stops a request.
type check func(now time.Time, view View, request Request) (sycamorerun.Outcome, bool)

// checks are made in order before the new subtree is built.
var checks = map[sycamorerun.ChangeKind][]check{
	sycamorerun.Apply:       {teamExists, notHeld, baseUnchanged, ownPaths},
	sycamorerun.Revert:      {teamExists, notHeld, baseUnchanged, targetKnown},
	sycamorerun.PlaceHold:   {teamExists, holdFree, holdEnds},
	sycamorerun.ReleaseHold: {teamExists, holdPlaced},
	sycamorerun.Approve:     {teamExists, proposalOpen, notHeld, otherOperator, contentNamed, subtreeUnchanged},
	sycamorerun.Reject:      {teamExists, proposalOpen},
}

// Decide returns what becomes of a request on the state of view at now. The
// same id gets the same outcome again.
func (r Rules) Decide(now time.Time, view View, request Request) Verdict {
	change := request.Change
	if outcome, ok := view.Decided(change.ID); ok {
		return Verdict{Outcome: outcome, Known: true}
	}
	list, known := checks[change.Kind]
	if !known {
		return Verdict{Outcome: refuse(change.ID, "unknown-kind", "", "kind %q", change.Kind)}
	}
	for _, check := range list {
		if outcome, stop := check(now, view, request); stop {
			return Verdict{Outcome: outcome}
		}
	}
	difference := differ.Compare(view.Tree.Subtree(change.Team), subtree(now, view, request))
	items := differ.Apply(view.Tree, view.Tree.Version+1, difference).Items
	if faults := r.faults(view, change, items); len(faults) > 0 {
		return Verdict{Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusRefused, Faults: faults}}
	}
	if reviewed(view.Tree, change) {
		return propose(now, view, change, items)
	}
	return Verdict{
		Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusAccepted, Version: view.Tree.Version + 1},
		Items:   items,
		Records: records(request),

		Difference: difference,
	}
}

func (r Rules) faults(view View, change sycamorerun.Change, items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	if change.Kind == sycamorerun.Reject {
		return nil
	}
	if faults := limits(items); len(faults) > 0 {
		return faults
	}
	// A hold refers to nothing, and releasing one must stay possible.
	if change.Kind == sycamorerun.PlaceHold || change.Kind == sycamorerun.ReleaseHold {
		return nil
	}
	return r.Validate(sycamorerun.Tree{Version: view.Tree.Version + 1, Items: items})
}

// reviewed reports whether the change needs another operator's approval.
func reviewed(tree sycamorerun.Tree, change sycamorerun.Change) bool {
	if change.Kind != sycamorerun.Apply && change.Kind != sycamorerun.Revert {
		return false
	}
	item, ok := tree.Items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, change.Team)]
	if !ok {
		return false
	}
	var team sycamorerun.Team
	// An item that can't be read must not bypass the review.
	return json.Unmarshal(item, &team) != nil || team.Mode == sycamorerun.ModeReview
}

func propose(now time.Time, view View, change sycamorerun.Change, items map[sycamorerun.Path]sycamorerun.Item) Verdict {
	proposed := content(items, change.Team)
	return Verdict{
		Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusPending},
		Proposal: &Proposal{
			ID: change.ID, Team: change.Team, Operator: change.Operator, Kind: change.Kind,
			Items: proposed, Content: differ.Hash(proposed),
			Base: differ.Hash(content(view.Tree.Items, change.Team)), Time: now,
		},
	}
}

func records(request Request) []sycamorerun.Accepted {
	change := request.Change
	list := []sycamorerun.Accepted{{ID: change.ID, Team: change.Team, Operator: change.Operator, Kind: change.Kind}}
	if proposal := request.Proposal; proposal != nil {
		kind := proposal.Kind
		if change.Kind == sycamorerun.Reject {
			kind = Rejected
		}
		list = append(list, sycamorerun.Accepted{ID: proposal.ID, Team: proposal.Team, Operator: proposal.Operator, Kind: kind})
	}
	return list
}

// subtree returns the team's items after the change.
func subtree(now time.Time, view View, request Request) map[sycamorerun.Path]sycamorerun.Item {
	change := request.Change
	before := view.Tree.Subtree(change.Team)
	held := holdPath(change.Team)
	switch change.Kind {
	case sycamorerun.Apply:
		return withHold(change.Items, before, held)
	case sycamorerun.Revert:
		return withHold(request.Target, before, held)
	case sycamorerun.Approve:
		return withHold(request.Proposal.Items, before, held)
	case sycamorerun.PlaceHold:
		hold := change.Hold
		hold.Operator, hold.Since = change.Operator, now.UTC()
		item, err := json.Marshal(hold)
		if err != nil {
			panic(fmt.Sprintf("acceptor: hold does not marshal: %v", err))
		}
		before[held] = item
	case sycamorerun.ReleaseHold:
		delete(before, held)
	}
	return before
}

// withHold returns items with the hold of before: only hold and release
// change it.
func withHold(items, before map[sycamorerun.Path]sycamorerun.Item, held sycamorerun.Path) map[sycamorerun.Path]sycamorerun.Item {
	after := maps.Clone(items)
	if after == nil {
		after = map[sycamorerun.Path]sycamorerun.Item{}
	}
	delete(after, held)
	if item, ok := before[held]; ok {
		after[held] = item
	}
	return after
}

// content returns the team's items without its hold.
func content(items map[sycamorerun.Path]sycamorerun.Item, team string) map[sycamorerun.Path]sycamorerun.Item {
	subtree := sycamorerun.Tree{Items: items}.Subtree(team)
	delete(subtree, holdPath(team))
	return subtree
}

func holdPath(team string) sycamorerun.Path {
	return sycamorerun.NewPath(team, sycamorerun.KindHold, "")
}

// hold returns the team's hold; ok is false when there is none in force.
func hold(now time.Time, tree sycamorerun.Tree, team string) (hold sycamorerun.Hold, ok bool) {
	item, found := tree.Items[holdPath(team)]
	if !found {
		return hold, false
	}
	// A hold that can't be read blocks until it is released.
	if err := json.Unmarshal(item, &hold); err != nil {
		return hold, true
	}
	return hold, hold.Active(now)
}

func teamExists(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	team := request.Change.Team
	_, found := view.Tree.Items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, team)]
	if found || team == sycamorerun.AdminTeam {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "no-such-team", team, "the administrators have not declared the team"), true
}

func notHeld(now time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	found, held := hold(now, view.Tree, request.Change.Team)
	if !held {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "held", string(holdPath(request.Change.Team)), "held by %s: %s", found.Operator, found.Reason), true
}

func baseUnchanged(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	outcome := sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusConflict, Version: view.Tree.Version}
	fault := func(code, path, format string, args ...any) {
		outcome.Faults = append(outcome.Faults, sycamorerun.Fault{Code: code, Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	switch {
	case change.Base == 0 || change.Base == view.Tree.Version:
		return outcome, false
	case change.Base > view.Tree.Version:
		fault("base-unknown", change.Team, "base %d is above the newest version %d", change.Base, view.Tree.Version)
		return outcome, true
	case change.Base < view.Oldest:
		fault("base-too-old", change.Team, "base %d is older than the oldest known version %d", change.Base, view.Oldest)
		return outcome, true
	}
	latest := sycamorerun.Version(0)
	for _, path := range slices.Sorted(maps.Keys(view.Changed)) {
		version := view.Changed[path]
		if version > change.Base && path.Team() == change.Team && path != holdPath(change.Team) {
			fault("changed", string(path), "changed in version %d", version)
			latest = max(latest, version)
		}
	}
	outcome.Version = latest
	return outcome, len(outcome.Faults) > 0
}

func ownPaths(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	for _, path := range slices.Sorted(maps.Keys(change.Items)) {
		team, kind, name := path.Split()
		admin := kind == sycamorerun.KindTeam && team == sycamorerun.AdminTeam
		owned := kind == sycamorerun.KindService || kind == sycamorerun.KindRoute
		named := name != "" && (admin || owned)
		if team != change.Team || !named && path != sycamorerun.LimitsPath {
			return refuse(change.ID, "wrong-path", string(path), "team %s can't set this path with a settings file", change.Team), true
		}
	}
	return sycamorerun.Outcome{}, false
}

func targetKnown(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	if request.Target != nil && change.Target <= view.Tree.Version {
		return sycamorerun.Outcome{}, false
	}
	return refuse(change.ID, "target-unknown", change.Team, "version %d is out of reach; the newest is %d", change.Target, view.Tree.Version), true
}

func holdFree(now time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	found, held := hold(now, view.Tree, request.Change.Team)
	if !held || found.Operator == request.Change.Operator {
		return sycamorerun.Outcome{}, false
	}
	return notHeld(now, view, request)
}

func holdEnds(now time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	until := request.Change.Hold.Until
	if until.IsZero() || until.After(now) {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "bad-until", string(holdPath(request.Change.Team)), "the hold would end in the past"), true
}

func holdPlaced(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	path := holdPath(request.Change.Team)
	if _, found := view.Tree.Items[path]; found {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "not-held", string(path), "there is no hold"), true
}

func proposalOpen(now time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	if outcome, ok := view.Decided(change.Proposal); ok {
		refused := refuse(change.ID, "already-decided", change.Proposal, "the proposal was decided in version %d", outcome.Version)
		refused.Version = outcome.Version
		return refused, true
	}
	if request.Proposal == nil {
		return refuse(change.ID, "no-such-proposal", change.Proposal, "team %s has no such proposal", change.Team), true
	}
	if request.Proposal.Expired(now) && change.Kind == sycamorerun.Approve {
		return refuse(change.ID, "proposal-expired", change.Proposal, "the proposal is older than %v", MaxAge), true
	}
	return sycamorerun.Outcome{}, false
}

func otherOperator(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	if request.Proposal.Operator != request.Change.Operator {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "own-proposal", request.Proposal.ID, "another operator of the team has to approve"), true
}

func contentNamed(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	if request.Proposal.Content == request.Change.Content {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "wrong-content", request.Proposal.ID, "the proposal's content hash is %x", request.Proposal.Content), true
}

func subtreeUnchanged(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	if differ.Hash(content(view.Tree.Items, request.Change.Team)) == request.Proposal.Base {
		return sycamorerun.Outcome{}, false
	}
	return sycamorerun.Outcome{
		ID: request.Change.ID, Status: sycamorerun.StatusConflict, Version: view.Tree.Version,
		Faults: []sycamorerun.Fault{{Code: "changed", Path: request.Change.Team, Reason: "the subtree changed after the proposal was made"}},
	}, true
}

func refuse(id, code, path, format string, args ...any) sycamorerun.Outcome {
	return sycamorerun.Outcome{
		ID: id, Status: sycamorerun.StatusRefused,
		Faults: []sycamorerun.Fault{{Code: code, Path: path, Reason: fmt.Sprintf(format, args...)}},
	}
}
