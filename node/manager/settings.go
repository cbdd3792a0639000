package manager

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
	"sycamorerun/differ"
	"sycamorerun/node/authenticator"
)

// settingsService implements settings.Service.
type settingsService struct{ *Manager }

func settingsProblem(p problem) *settings.Problem {
	return &settings.Problem{Name: p.name, Code: p.code, Reason: p.reason}
}

// Read implements settings.Service.
func (s *settingsService) Read(_ context.Context, payload *settings.ReadPayload) (*settings.ReadResult, error) {
	tree, hash := s.Current()
	items := tree.Items
	if payload.Team != nil {
		items = tree.Subtree(*payload.Team)
	}
	result := &settings.ReadResult{Version: uint64(tree.Version), Hash: hex.EncodeToString(hash[:])}
	for _, path := range slices.Sorted(maps.Keys(items)) {
		result.Items = append(result.Items, &settings.Record{Path: string(path), Item: string(items[path])})
	}
	return result, nil
}

// Submit implements settings.Service.
func (s *settingsService) Submit(ctx context.Context, payload *settings.SubmitPayload) (*settings.Outcome, error) {
	identity := identityOf(ctx)
	if identity.Team != payload.Team {
		return nil, settingsProblem(problemWrongTeam)
	}
	change, faults := s.newChange(identity, payload)
	if len(faults) > 0 {
		return toOutcome(sycamorerun.Outcome{ID: payload.ID, Status: sycamorerun.StatusRefused, Faults: faults}), nil
	}
	return toOutcome(s.Manager.Submit(ctx, change)), nil
}

// newChange converts a payload to a change. For an invalid payload, it returns the
// faults.
func (s *settingsService) newChange(identity authenticator.Identity, payload *settings.SubmitPayload) (sycamorerun.Change, []sycamorerun.Fault) {
	change := sycamorerun.Change{
		ID: payload.ID, Kind: sycamorerun.ChangeKind(payload.Kind), Team: payload.Team, Operator: identity.Operator,
		Base: sycamorerun.Version(valueOrZero(payload.Base)), Target: sycamorerun.Version(valueOrZero(payload.Version)),
		Proposal: valueOrZero(payload.Proposal),
	}
	var faults []sycamorerun.Fault
	switch change.Kind {
	case sycamorerun.Apply:
		change.Items, faults = s.parseSettings(payload.Team, valueOrZero(payload.Settings))
	case sycamorerun.PlaceHold:
		change.Hold, faults = s.newHold(identity, payload)
	case sycamorerun.Approve, sycamorerun.Reject:
		change.Content, faults = parseContentHash(valueOrZero(payload.Content))
	}
	return change, faults
}

func (s *settingsService) parseSettings(team, text string) (map[sycamorerun.Path]sycamorerun.Item, []sycamorerun.Fault) {
	fileTeam, items, faults := s.Parse([]byte(text))
	if len(faults) == 0 && fileTeam != team {
		faults = []sycamorerun.Fault{{Code: "wrong-team", Path: "team", Reason: "the settings are of team " + fileTeam + ", the request is for team " + team}}
	}
	return items, faults
}

func (s *settingsService) newHold(identity authenticator.Identity, payload *settings.SubmitPayload) (sycamorerun.Hold, []sycamorerun.Fault) {
	hold := sycamorerun.Hold{Operator: identity.Operator, Reason: valueOrZero(payload.Reason), Since: s.Now().UTC()}
	if hold.Reason == "" {
		return hold, []sycamorerun.Fault{{Code: "missing-reason", Path: "reason", Reason: "a hold needs a reason"}}
	}
	if payload.Until == nil {
		return hold, nil
	}
	until, err := time.Parse(time.RFC3339, *payload.Until)
	if err != nil || !until.After(s.Now()) {
		return hold, []sycamorerun.Fault{{Code: "bad-time", Path: "until", Reason: "the end must be an RFC 3339 time in the future"}}
	}
	hold.Until = until.UTC()
	return hold, nil
}

func parseContentHash(text string) (sycamorerun.Hash, []sycamorerun.Fault) {
	var hash sycamorerun.Hash
	if data, err := hex.DecodeString(text); err == nil && len(data) == len(hash) {
		copy(hash[:], data)
		return hash, nil
	}
	return hash, []sycamorerun.Fault{{Code: "bad-content", Path: "content", Reason: "the content hash must be 64 hex digits"}}
}

// OutcomeEndpoint implements settings.Service.
func (s *settingsService) OutcomeEndpoint(ctx context.Context, payload *settings.OutcomePayload) (*settings.Outcome, error) {
	found, ok := s.Lookup(ctx, payload.ID)
	if !ok {
		return nil, settingsProblem(problemUnknownChange)
	}
	return toOutcome(found), nil
}

// Check implements settings.Service.
func (s *settingsService) Check(_ context.Context, payload *settings.CheckPayload) (*settings.CheckResult, error) {
	tree, _ := s.Current()
	result := &settings.CheckResult{Version: uint64(tree.Version), Faults: []*settings.Fault{}, Differences: []*settings.Difference{}}
	items, faults := s.parseSettings(payload.Team, payload.Settings)
	if len(faults) > 0 {
		result.Faults = toFaults(faults)
		return result, nil
	}
	before := tree.Subtree(payload.Team)
	difference := differ.Compare(withoutHold(before), items)
	result.Faults = toFaults(s.Validate(differ.Apply(tree, tree.Version, difference).Items))
	result.Differences = toDifferences(before, difference)
	return result, nil
}

// withoutHold returns items without the hold, which a settings file does not contain.
func withoutHold(items map[sycamorerun.Path]sycamorerun.Item) map[sycamorerun.Path]sycamorerun.Item {
	result := maps.Clone(items)
	maps.DeleteFunc(result, func(path sycamorerun.Path, _ sycamorerun.Item) bool {
		_, kind, _ := path.Split()
		return kind == sycamorerun.KindHold
	})
	return result
}

// Proposals implements settings.Service.
func (s *settingsService) Proposals(ctx context.Context, payload *settings.ProposalsPayload) ([]*settings.Proposal, error) {
	proposals, err := s.Manager.Proposals(ctx, payload.Team)
	if err != nil {
		return nil, settingsProblem(problemStoreUnavailable)
	}
	tree, _ := s.Current()
	before := tree.Subtree(payload.Team)
	results := []*settings.Proposal{}
	for _, p := range proposals {
		results = append(results, &settings.Proposal{
			ID: p.ID, Team: p.Team, Operator: p.Operator, Content: hex.EncodeToString(p.Content[:]),
			Time: p.Time.Format(time.RFC3339), Differences: toDifferences(before, p.Difference),
		})
	}
	return results, nil
}

// History implements settings.Service.
func (s *settingsService) History(ctx context.Context, payload *settings.HistoryPayload) ([]*settings.Accepted, error) {
	results := []*settings.Accepted{}
	for _, entry := range s.Manager.History(ctx, valueOrZero(payload.Team), payload.Limit) {
		for _, change := range entry.Changes {
			if payload.Team != nil && change.Team != *payload.Team {
				continue
			}
			results = append(results, &settings.Accepted{
				Version: uint64(entry.Version), ID: change.ID, Team: change.Team, Operator: change.Operator,
				Kind: string(change.Kind), Time: entry.Time.Format(time.RFC3339Nano),
			})
		}
	}
	return results[:min(len(results), payload.Limit)], nil
}

func toOutcome(o sycamorerun.Outcome) *settings.Outcome {
	result := &settings.Outcome{ID: o.ID, Status: string(o.Status), Faults: toFaults(o.Faults)}
	if o.Version > 0 {
		result.Version = pointer(uint64(o.Version))
	}
	if o.Retry > 0 {
		result.Retry = pointer(o.Retry.Milliseconds())
	}
	return result
}

func toFaults(faults []sycamorerun.Fault) []*settings.Fault {
	results := []*settings.Fault{}
	for _, f := range faults {
		result := &settings.Fault{Code: f.Code, Path: f.Path, Reason: f.Reason}
		if f.Line > 0 {
			result.Line = pointer(f.Line)
		}
		results = append(results, result)
	}
	return results
}

func toDifferences(before map[sycamorerun.Path]sycamorerun.Item, difference sycamorerun.Difference) []*settings.Difference {
	results := []*settings.Difference{}
	for _, path := range slices.Sorted(maps.Keys(difference.Put)) {
		result := &settings.Difference{Path: string(path), After: pointer(string(difference.Put[path]))}
		if old, ok := before[path]; ok {
			result.Before = pointer(string(old))
		}
		results = append(results, result)
	}
	for _, path := range difference.Remove {
		results = append(results, &settings.Difference{Path: string(path), Before: pointer(string(before[path]))})
	}
	return results
}

func pointer[T any](v T) *T { return &v }

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
