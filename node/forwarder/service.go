package forwarder

import (
	"context"

	"github.com/pkg/errors"
)

// ErrDraining is returned by Upstream for a request that was not sent because
// the upstream accepts no new calls.
var ErrDraining = errors.New("upstream is draining and accepts no new calls")

type serviceKey struct{}

// WithService returns a context for a call to a service.
func WithService(ctx context.Context, service string) context.Context {
	return context.WithValue(ctx, serviceKey{}, service)
}

// ServiceOf returns the service of the call that ctx belongs to, for Acquire and
// for the requests to Upstream. It is empty outside of a call.
func ServiceOf(ctx context.Context) string {
	service, _ := ctx.Value(serviceKey{}).(string)
	return service
}
