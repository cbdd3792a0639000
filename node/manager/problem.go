package manager

import (
	"context"

	"goa.design/goa/v3/security"

	"sycamorerun/node/authenticator"
)

// problem is an API error. Each service converts it to its own generated type. The name
// selects the HTTP status.
type problem struct {
	name   string
	code   string
	reason string
}

// Problems of the API. Clients rely on their codes.
var (
	problemUnknownToken     = problem{"unauthorized", "unknown-token", "the bearer token is missing or not known"}
	problemWrongTeam        = problem{"forbidden", "wrong-team", "the token's team does not own this subtree"}
	problemUnknownChange    = problem{"missing", "unknown-change", "no change with this id among the versions that are kept"}
	problemStoreUnavailable = problem{"unavailable", "store-unavailable", "the object store can't be reached now"}
	// Without a configuration, a node knows no team's token. If it reported the token
	// as wrong, the client would give up on a change that may still be in progress.
	problemStarting = problem{"unavailable", "starting", "the node has just started and has no configuration yet"}
)

type identityKey struct{}

// authenticate returns a context with the identity of the token's holder, or a problem.
func (m *Manager) authenticate(ctx context.Context, token string) (context.Context, *problem) {
	identity, ok := m.Identify(token)
	switch {
	case ok:
		return context.WithValue(ctx, identityKey{}, identity), nil
	case token != "" && m.Status().Phase == PhaseStarting:
		return nil, &problemStarting
	default:
		return nil, &problemUnknownToken
	}
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// APIKeyAuth implements settings.Auther.
func (s *settingsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := s.authenticate(ctx, key)
	if failure != nil {
		return nil, settingsProblem(*failure)
	}
	return ctx, nil
}

// APIKeyAuth implements fleet.Auther.
func (s *fleetService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := s.authenticate(ctx, key)
	if failure != nil {
		return nil, fleetProblem(*failure)
	}
	return ctx, nil
}
