package manager

import (
	"context"

	"goa.design/goa/v3/security"

	"sycamorerun/node/authenticator"
)

// problem is an error of the API before it takes the service's own type. The
// name selects the HTTP status.
type problem struct {
	name   string
	code   string
	reason string
}

// Problems of the API with their stable codes.
var (
	problemToken = problem{"unauthorized", "unknown-token", "the bearer token is missing or not known"}
	problemTeam  = problem{"forbidden", "wrong-team", "the token's team does not own this subtree"}
	problemID    = problem{"missing", "unknown-change", "no change with this id among the versions that are kept"}
	problemStore = problem{"unavailable", "store-unavailable", "the object store can't be reached now"}
	// Without a configuration a node knows no team's token. A client that was told
	// that its token is wrong would give up a change that may be under way.
	problemStarting = problem{"unavailable", "starting", "the node has just started and has no configuration yet"}
)

type identityKey struct{}

// authenticate returns a context that carries the token's identity, or a problem.
func (m *Manager) authenticate(ctx context.Context, token string) (context.Context, *problem) {
	identity, ok := m.Identify(token)
	switch {
	case ok:
		return context.WithValue(ctx, identityKey{}, identity), nil
	case token != "" && m.Status().Phase == PhaseStarting:
		return nil, &problemStarting
	default:
		return nil, &problemToken
	}
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// APIKeyAuth implements settings.Auther.
func (s *settingsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, found := s.authenticate(ctx, key)
	if found != nil {
		return nil, settingsProblem(*found)
	}
	return ctx, nil
}

// APIKeyAuth implements fleet.Auther.
func (s *fleetService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, found := s.authenticate(ctx, key)
	if found != nil {
		return nil, fleetProblem(*found)
	}
	return ctx, nil
}
