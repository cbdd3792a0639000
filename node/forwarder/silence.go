package forwarder

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun/node/estimator"
)

// silenceLogInterval is the minimum time between two log lines about an upstream
// that does not respond.
const silenceLogInterval = 10 * time.Second

// upstreamTimes holds how long the upstream beside this node takes for its responses,
// and how often it did not respond.
type upstreamTimes struct {
	estimator *estimator.Estimator
	mutex     sync.Mutex
	loggedAt  time.Time
	// unlogged is the number of silences since the last log line.
	unlogged int
}

func newUpstreamTimes() *upstreamTimes { return &upstreamTimes{estimator: estimator.New()} }

// recordSilence counts and logs a request that ended without a response although the
// upstream answers nearly all requests like it in a shorter time. Such an upstream
// hangs or has become slow. The connection of the request is closed.
func (f *Forwarder) recordSilence(now time.Time, match Match, waited time.Duration) {
	usual, known := f.upstreamTimes.estimator.Bound(match.kind())
	if !known || waited <= usual {
		return
	}
	f.Scope.Counter("upstream_silences").Inc(1)
	t := f.upstreamTimes
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unlogged++
	if now.Sub(t.loggedAt) < silenceLogInterval {
		return
	}
	_ = level.Warn(f.Logger).Log("msg", "upstream did not respond in its usual time", "upstream", f.Target(),
		"service", match.Service, "waited", waited, "usual", usual, "requests", t.unlogged)
	t.loggedAt, t.unlogged = now, 0
}
