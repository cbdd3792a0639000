package forwarder

import (
	"context"

	"github.com/go-kit/log/level"
)

// isUploading reports whether the upstream has answered before all of the request
// body was sent to it.
func (r *attemptResponse) isUploading() bool {
	if r.uploaded == nil {
		return false
	}
	select {
	case <-r.uploaded:
		return false
	default:
		return true
	}
}

// awaitUpload waits until the rest of the request body was sent to an upstream that
// answered early, until the upstream takes no more of it, or until the call ends.
func (f *Forwarder) awaitUpload(ctx context.Context, c *call, out *attemptResponse) {
	select {
	case <-out.uploaded:
	case <-ctx.Done():
	}
	if out.received == nil || out.received.isWhole() {
		return
	}
	f.Scope.Counter("uploads_cut").Inc(1)
	_ = level.Warn(f.Logger).Log("msg", "upstream answered and did not get the whole request body", "request", c.id,
		"service", c.match.Service, "reason", endReason(ctx, "upstream took no more"))
}
