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
)

type identityKey struct{}

// authenticate returns a context that carries the token's identity.
func (m *Manager) authenticate(ctx context.Context, token string) (context.Context, bool) {
	identity, ok := m.Identify(token)
	return context.WithValue(ctx, identityKey{}, identity), ok
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// APIKeyAuth implements settings.Auther.
func (s *settingsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, ok := s.authenticate(ctx, key)
	if !ok {
		return nil, settingsProblem(problemToken)
	}
	return ctx, nil
}

// APIKeyAuth implements fleet.Auther.
func (s *fleetService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, ok := s.authenticate(ctx, key)
	if !ok {
		return nil, fleetProblem(problemToken)
	}
	return ctx, nil
}
