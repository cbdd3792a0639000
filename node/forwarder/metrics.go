package forwarder

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
)

// latencyBuckets cover 100 µs to 26 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 19)

// metrics caches counters and histograms, since a lookup in a tally scope takes
// locks and builds maps.
type metrics struct {
	counters, latencies sync.Map
}

// counterKey identifies a counter of calls.
type counterKey struct {
	team   string
	class  sycamorerun.Class
	result sycamorerun.Result
	reason string
}

// latencyKey identifies a latency histogram.
type latencyKey struct {
	team  string
	class sycamorerun.Class
}

// recordCall counts a call that has just ended, records its latency and logs it.
func (f *Forwarder) recordCall(c *call, result sycamorerun.Result, reason string) {
	elapsed := f.Now().Sub(c.startedAt)
	f.counter(counterKey{c.match.Team, c.match.Class, result, reason}).Inc(1)
	f.latency(latencyKey{c.match.Team, c.match.Class}).RecordDuration(elapsed)
	_ = level.Debug(f.Logger).Log("msg", "call ended", "request", c.id, "service", c.match.Service,
		"class", c.match.Class, "result", result, "reason", reason, "took", elapsed)
}

func (f *Forwarder) counter(key counterKey) tally.Counter {
	cached, ok := f.metrics.counters.Load(key)
	if !ok {
		cached, _ = f.metrics.counters.LoadOrStore(key, f.Scope.Tagged(map[string]string{
			"team": key.team, "class": string(key.class), "result": string(key.result), "reason": key.reason,
		}).Counter("calls"))
	}
	return cached.(tally.Counter)
}

func (f *Forwarder) latency(key latencyKey) tally.Histogram {
	cached, ok := f.metrics.latencies.Load(key)
	if !ok {
		cached, _ = f.metrics.latencies.LoadOrStore(key, f.Scope.Tagged(map[string]string{
			"team": key.team, "class": string(key.class),
		}).Histogram("call_latency", latencyBuckets))
	}
	return cached.(tally.Histogram)
}
