package manager

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"sycamorerun/api/gen/fleet"
)

// fleetService implements fleet.Service.
type fleetService struct{ *Manager }

var problemSurveyFailed = problem{"unavailable", "survey-failed", "the fleet could not be asked now"}

func fleetProblem(p problem) *fleet.Problem {
	return &fleet.Problem{Name: p.name, Code: p.code, Reason: p.reason}
}

// Status implements fleet.Service.
func (s *fleetService) Status(context.Context, *fleet.StatusPayload) (*fleet.StatusResult, error) {
	tree, hash := s.Current()
	status := s.Manager.Status()
	result := &fleet.StatusResult{
		Name: s.Name, Zone: s.AvailabilityZone, Region: s.Region, Phase: string(status.Phase),
		Version: uint64(tree.Version), Hash: hex.EncodeToString(hash[:]), Refused: status.Refused,
		Sessions: status.Sessions, Members: status.Members, Watching: status.Watching,
		Unserved: &status.Unserved, Partial: &status.Partial,
	}
	if status.Fault != "" {
		result.Fault = &status.Fault
	}
	return result, nil
}

// Members implements fleet.Service.
func (s *fleetService) Members(context.Context, *fleet.MembersPayload) ([]*fleet.Member, error) {
	results := []*fleet.Member{}
	for _, m := range s.Manager.Members() {
		results = append(results, &fleet.Member{
			Name: m.Name, Zone: m.AvailabilityZone, Region: m.Region, Address: m.Address.String(),
			Service: m.Service, State: string(m.State), Slots: m.Slots, Suspect: m.Suspect,
		})
	}
	return results, nil
}

// Routes implements fleet.Service.
func (s *fleetService) Routes(_ context.Context, payload *fleet.RoutesPayload) ([]*fleet.RouteState, error) {
	results := []*fleet.RouteState{}
	for _, route := range s.Manager.Routes() {
		if payload.Team == nil || *payload.Team == route.Path.Team() {
			results = append(results, toRouteState(route))
		}
	}
	return results, nil
}

// Accounts implements fleet.Service.
func (s *fleetService) Accounts(context.Context, *fleet.AccountsPayload) ([]*fleet.Account, error) {
	results := []*fleet.Account{}
	for _, account := range s.Manager.Accounts() {
		results = append(results, toAccount(account))
	}
	return results, nil
}

// toAccount leaves out what is not set.
func toAccount(account Account) *fleet.Account {
	result := &fleet.Account{Name: account.Name, Keys: len(account.Keys)}
	if account.Label != "" {
		result.Label = &account.Label
	}
	if account.Rank > 0 {
		result.Rank = &account.Rank
	}
	if account.Rate > 0 {
		result.Rate, result.Burst = &account.Rate, &account.Burst
	}
	return result
}

func toRouteState(route Route) *fleet.RouteState {
	result := &fleet.RouteState{Route: string(route.Path), State: route.State, Targets: []*fleet.Target{}}
	if !route.Since.IsZero() {
		result.Since = pointer(route.Since.UTC().Format(time.RFC3339Nano))
	}
	for _, target := range route.Targets {
		result.Targets = append(result.Targets, &fleet.Target{
			Service: target.Service, Share: target.Share, Upstreams: target.Upstreams,
		})
	}
	return result
}

// Convergence implements fleet.Service.
func (s *fleetService) Convergence(ctx context.Context, _ *fleet.ConvergencePayload) (*fleet.ConvergenceResult, error) {
	convergence, err := s.Manager.Convergence(ctx)
	if err != nil {
		return nil, fleetProblem(problemSurveyFailed)
	}
	result := &fleet.ConvergenceResult{
		Newest: uint64(convergence.Newest), Nodes: convergence.Nodes, Silent: convergence.Silent,
		Tallies: []*fleet.Tally{}, Laggards: []*fleet.Laggard{},
	}
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(convergence.Versions))) {
		result.Tallies = append(result.Tallies, &fleet.Tally{Version: uint64(version), Nodes: convergence.Versions[version]})
	}
	for _, laggard := range convergence.Laggards {
		item := &fleet.Laggard{Name: laggard.Name, Version: uint64(laggard.Version), Since: laggard.Since.Format(time.RFC3339Nano)}
		if laggard.Fault != "" {
			item.Fault = &laggard.Fault
		}
		result.Laggards = append(result.Laggards, item)
	}
	return result, nil
}

// Explain implements fleet.Service.
func (s *fleetService) Explain(_ context.Context, payload *fleet.ExplainPayload) (*fleet.ExplainResult, error) {
	tree, _ := s.Current()
	explanation := s.Manager.Explain(Query{
		Method: payload.Method, Host: payload.Host, Path: payload.Path, Headers: payload.Headers,
	})
	result := &fleet.ExplainResult{
		Version: uint64(tree.Version), Route: explanation.Route, Steps: explanation.Steps,
		Candidates: []*fleet.Candidate{},
	}
	if explanation.Route != "" {
		result.Class = pointer(string(explanation.Class))
		result.Repeatable = &explanation.Repeatable
	}
	if explanation.State != nil {
		result.State = toRouteState(*explanation.State)
	}
	for _, c := range explanation.Candidates {
		result.Candidates = append(result.Candidates, &fleet.Candidate{
			Instance: c.Instance, Zone: c.AvailabilityZone, State: string(c.State), Chance: c.Chance, Reason: c.Reason,
		})
	}
	return result, nil
}
