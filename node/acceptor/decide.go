package acceptor

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/validator"
)

// Request is a change with the data from the store that its decision needs.
type Request struct {
	Change sycamorerun.Change
	// Target is the team's subtree at version Change.Target, for Revert. It is
	// nil if that version can't be restored.
	Target map[sycamorerun.Path]sycamorerun.Item
	// Proposal is the proposal to decide on, for Approve and Reject. It is nil
	// if the store has no proposal with that id.
	Proposal *Proposal
}

// View is the state that a change is decided on.
type View struct {
	// Tree is the newest tree. An accepted change gets version Tree.Version+1.
	Tree sycamorerun.Tree
	// OldestBase is the oldest base version for which LastChanged is complete.
	OldestBase sycamorerun.Version
	// LastChanged holds the version of the last change of each path.
	LastChanged map[sycamorerun.Path]sycamorerun.Version
	// Decided returns the outcome of an earlier change by id.
	Decided func(id string) (sycamorerun.Outcome, bool)
}

// Verdict is the decision on a request.
type Verdict struct {
	Outcome sycamorerun.Outcome
	// AlreadyDecided means that the log already holds the outcome.
	AlreadyDecided bool
	// Items is the whole tree after an accepted change.
	Items map[sycamorerun.Path]sycamorerun.Item
	// Difference contains this change only, not others of the same entry.
	Difference sycamorerun.Difference
	// Records identify the changes to record in the entry. They are empty if
	// there is nothing to commit.
	Records []sycamorerun.Accepted
	// Proposal is the proposal to store, for a pending outcome.
	Proposal *Proposal
}

// Rules decides on changes.
type Rules struct {
	// Validate returns the faults of a whole tree.
	Validate func(sycamorerun.Tree) []sycamorerun.Fault
}

// check returns an outcome and true if it stops a request.
type check func(now time.Time, view View, request Request) (sycamorerun.Outcome, bool)

// checks holds the checks of each kind of change. They run in order, before the new
// subtree is built.
var checks = map[sycamorerun.ChangeKind][]check{
	sycamorerun.Apply:       {teamExists, notHeld, baseUnchanged, pathsAllowed},
	sycamorerun.Revert:      {teamExists, notHeld, baseUnchanged, targetReachable},
	sycamorerun.PlaceHold:   {teamExists, notHeldByOther, holdEndsInFuture},
	sycamorerun.ReleaseHold: {teamExists, holdExists},
	sycamorerun.Approve:     {teamExists, proposalOpen, notHeld, approverDiffers, contentHashMatches, subtreeUnchanged},
	sycamorerun.Reject:      {teamExists, proposalOpen},
}

// Decide returns the verdict on a request, based on view at time now. A change that
// has already been decided gets the same outcome again.
func (r Rules) Decide(now time.Time, view View, request Request) Verdict {
	change := request.Change
	if outcome, ok := view.Decided(change.ID); ok {
		return Verdict{Outcome: outcome, AlreadyDecided: true}
	}
	kindChecks, known := checks[change.Kind]
	if !known {
		return Verdict{Outcome: refuse(change.ID, "unknown-kind", "", "kind %q", change.Kind)}
	}
	for _, check := range kindChecks {
		if outcome, stop := check(now, view, request); stop {
			return Verdict{Outcome: outcome}
		}
	}
	difference := differ.Compare(view.Tree.Subtree(change.Team), newSubtree(now, view, request))
	items := differ.Apply(view.Tree, view.Tree.Version+1, difference).Items
	if faults := r.faults(view, change, items); len(faults) > 0 {
		return Verdict{Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusRefused, Faults: faults}}
	}
	if needsReview(view.Tree, change) {
		return proposalVerdict(now, view, change, items)
	}
	return Verdict{
		Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusAccepted, Version: view.Tree.Version + 1},
		Items:   items,
		Records: acceptedRecords(request),

		Difference: difference,
	}
}

// faults returns the faults of the tree that the change would result in.
func (r Rules) faults(view View, change sycamorerun.Change, items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault {
	if change.Kind == sycamorerun.Reject {
		return nil
	}
	if faults := validator.CheckLimits(items); len(faults) > 0 {
		return faults
	}
	// A hold refers to no other items, and releasing one must always be possible.
	if change.Kind == sycamorerun.PlaceHold || change.Kind == sycamorerun.ReleaseHold {
		return nil
	}
	return r.Validate(sycamorerun.Tree{Version: view.Tree.Version + 1, Items: items})
}

// needsReview reports whether the change needs another operator's approval.
func needsReview(tree sycamorerun.Tree, change sycamorerun.Change) bool {
	if change.Kind != sycamorerun.Apply && change.Kind != sycamorerun.Revert {
		return false
	}
	item, ok := tree.Items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, change.Team)]
	if !ok {
		return false
	}
	var team sycamorerun.Team
	// A team item that can't be decoded must not bypass the review.
	return json.Unmarshal(item, &team) != nil || team.Mode == sycamorerun.ModeReview
}

// proposalVerdict returns a pending verdict with the proposal to store.
func proposalVerdict(now time.Time, view View, change sycamorerun.Change, items map[sycamorerun.Path]sycamorerun.Item) Verdict {
	proposed := subtreeWithoutHold(items, change.Team)
	return Verdict{
		Outcome: sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusPending},
		Proposal: &Proposal{
			ID: change.ID, Team: change.Team, Operator: change.Operator, Kind: change.Kind,
			Items: proposed, Content: differ.Hash(proposed),
			Base: differ.Hash(subtreeWithoutHold(view.Tree.Items, change.Team)), Time: now,
		},
	}
}

// acceptedRecords returns the records of the change and of the proposal that it
// decides on.
func acceptedRecords(request Request) []sycamorerun.Accepted {
	change := request.Change
	records := []sycamorerun.Accepted{{ID: change.ID, Team: change.Team, Operator: change.Operator, Kind: change.Kind}}
	if proposal := request.Proposal; proposal != nil {
		kind := proposal.Kind
		if change.Kind == sycamorerun.Reject {
			kind = Rejected
		}
		records = append(records, sycamorerun.Accepted{ID: proposal.ID, Team: proposal.Team, Operator: proposal.Operator, Kind: kind})
	}
	return records
}

// newSubtree returns the team's items after the change.
func newSubtree(now time.Time, view View, request Request) map[sycamorerun.Path]sycamorerun.Item {
	change := request.Change
	before := view.Tree.Subtree(change.Team)
	path := holdPath(change.Team)
	switch change.Kind {
	case sycamorerun.Apply:
		return withHold(change.Items, before, path)
	case sycamorerun.Revert:
		return withHold(request.Target, before, path)
	case sycamorerun.Approve:
		return withHold(request.Proposal.Items, before, path)
	case sycamorerun.PlaceHold:
		hold := change.Hold
		hold.Operator, hold.Since = change.Operator, now.UTC()
		item, err := json.Marshal(hold)
		if err != nil {
			panic(fmt.Sprintf("acceptor: hold does not marshal: %v", err))
		}
		before[path] = item
	case sycamorerun.ReleaseHold:
		delete(before, path)
	}
	return before
}

// withHold returns items with the hold of before, since only the kinds PlaceHold
// and ReleaseHold may change a hold.
func withHold(items, before map[sycamorerun.Path]sycamorerun.Item, path sycamorerun.Path) map[sycamorerun.Path]sycamorerun.Item {
	after := maps.Clone(items)
	if after == nil {
		after = map[sycamorerun.Path]sycamorerun.Item{}
	}
	delete(after, path)
	if item, ok := before[path]; ok {
		after[path] = item
	}
	return after
}

// subtreeWithoutHold returns the team's items without its hold.
func subtreeWithoutHold(items map[sycamorerun.Path]sycamorerun.Item, team string) map[sycamorerun.Path]sycamorerun.Item {
	subtree := sycamorerun.Tree{Items: items}.Subtree(team)
	delete(subtree, holdPath(team))
	return subtree
}

func holdPath(team string) sycamorerun.Path {
	return sycamorerun.NewPath(team, sycamorerun.KindHold, "")
}

// activeHold returns the team's hold and whether it is in force.
func activeHold(now time.Time, tree sycamorerun.Tree, team string) (hold sycamorerun.Hold, active bool) {
	item, found := tree.Items[holdPath(team)]
	if !found {
		return hold, false
	}
	// A hold that can't be decoded blocks changes until it is released.
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
	hold, active := activeHold(now, view.Tree, request.Change.Team)
	if !active {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "held", string(holdPath(request.Change.Team)), "held by %s: %s", hold.Operator, hold.Reason), true
}

func baseUnchanged(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	outcome := sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusConflict, Version: view.Tree.Version}
	addFault := func(code, path, format string, args ...any) {
		outcome.Faults = append(outcome.Faults, sycamorerun.Fault{Code: code, Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	switch {
	case change.Base == 0 || change.Base == view.Tree.Version:
		return outcome, false
	case change.Base > view.Tree.Version:
		addFault("base-unknown", change.Team, "base %d is above the newest version %d", change.Base, view.Tree.Version)
		return outcome, true
	case change.Base < view.OldestBase:
		addFault("base-too-old", change.Team, "base %d is older than the oldest known version %d", change.Base, view.OldestBase)
		return outcome, true
	}
	latest := sycamorerun.Version(0)
	for _, path := range slices.Sorted(maps.Keys(view.LastChanged)) {
		version := view.LastChanged[path]
		if version > change.Base && path.Team() == change.Team && path != holdPath(change.Team) {
			addFault("changed", string(path), "changed in version %d", version)
			latest = max(latest, version)
		}
	}
	outcome.Version = latest
	return outcome, len(outcome.Faults) > 0
}

func pathsAllowed(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	for _, path := range slices.Sorted(maps.Keys(change.Items)) {
		team, kind, name := path.Split()
		isAdmins := team == sycamorerun.AdminTeam && (kind == sycamorerun.KindTeam || kind == sycamorerun.KindAccount)
		isServiceOrRoute := kind == sycamorerun.KindService || kind == sycamorerun.KindRoute
		namedItem := name != "" && (isAdmins || isServiceOrRoute)
		if team != change.Team || !namedItem && path != sycamorerun.LimitsPath {
			return refuse(change.ID, "wrong-path", string(path), "team %s can't set this path with a settings file", change.Team), true
		}
	}
	return sycamorerun.Outcome{}, false
}

func targetReachable(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	change := request.Change
	if request.Target != nil && change.Target <= view.Tree.Version {
		return sycamorerun.Outcome{}, false
	}
	return refuse(change.ID, "target-unknown", change.Team, "version %d is out of reach; the newest is %d", change.Target, view.Tree.Version), true
}

func notHeldByOther(now time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	hold, active := activeHold(now, view.Tree, request.Change.Team)
	if !active || hold.Operator == request.Change.Operator {
		return sycamorerun.Outcome{}, false
	}
	return notHeld(now, view, request)
}

func holdEndsInFuture(now time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	until := request.Change.Hold.Until
	if until.IsZero() || until.After(now) {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "bad-until", string(holdPath(request.Change.Team)), "the hold would end in the past"), true
}

func holdExists(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
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
		return refuse(change.ID, "proposal-expired", change.Proposal, "the proposal is older than %v", MaxProposalAge), true
	}
	return sycamorerun.Outcome{}, false
}

func approverDiffers(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	if request.Proposal.Operator != request.Change.Operator {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "own-proposal", request.Proposal.ID, "another operator of the team has to approve"), true
}

func contentHashMatches(_ time.Time, _ View, request Request) (sycamorerun.Outcome, bool) {
	if request.Proposal.Content == request.Change.Content {
		return sycamorerun.Outcome{}, false
	}
	return refuse(request.Change.ID, "wrong-content", request.Proposal.ID, "the proposal's content hash is %x", request.Proposal.Content), true
}

func subtreeUnchanged(_ time.Time, view View, request Request) (sycamorerun.Outcome, bool) {
	if differ.Hash(subtreeWithoutHold(view.Tree.Items, request.Change.Team)) == request.Proposal.Base {
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
