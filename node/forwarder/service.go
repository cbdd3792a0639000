package forwarder

import (
	"context"

	"github.com/pkg/errors"
)

// ErrDraining is what Upstream returns for a request that it did not send
// because the upstream takes no new calls.
var ErrDraining = errors.New("the upstream takes no new calls")

type serviceKey struct{}

// WithService returns a context of a call to a service.
func WithService(ctx context.Context, service string) context.Context {
	return context.WithValue(ctx, serviceKey{}, service)
}

// ServiceOf returns the service that a call is for, in Acquire and in the
// requests to Upstream. It is empty outside of a call.
func ServiceOf(ctx context.Context) string {
	service, _ := ctx.Value(serviceKey{}).(string)
	return service
}
