package deduplicator

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// gaugeInterval is the time between two readings of the sizes.
const gaugeInterval = 10 * time.Second

// metrics show operators whether keys are remembered and handed over.
type metrics struct {
	scope                            tally.Scope
	received, sent, strangers        tally.Counter
	keys, traces, responses, doubted tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("keys")
	return &metrics{
		scope:    scope,
		received: scope.Counter("received"), sent: scope.Counter("sent"), strangers: scope.Counter("strangers"),
		keys: scope.Gauge("records"), traces: scope.Gauge("traces"), responses: scope.Gauge("response_bytes"),
		doubted: scope.Gauge("in_doubt"),
	}
}

// moved counts a join or a leave.
func (m *metrics) moved(kind string, complete bool) {
	m.scope.Tagged(map[string]string{"complete": strconv.FormatBool(complete)}).Counter(kind).Inc(1)
}

// Sizes are what the records hold. InDoubt says that every unknown key is
// uncertain.
type Sizes struct {
	Keys, Traces, Responses int
	InDoubt                 bool
}

// Sizes returns the present sizes.
func (d *Deduplicator) Sizes(now time.Time) Sizes {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	return Sizes{
		Keys: len(d.keys.records), Traces: len(d.keys.traces), Responses: d.keys.bytes,
		InDoubt: d.doubtful(now) || len(d.moves.strangers) > 0,
	}
}

func (m *metrics) update(sizes Sizes) {
	m.keys.Update(float64(sizes.Keys))
	m.traces.Update(float64(sizes.Traces))
	m.responses.Update(float64(sizes.Responses))
	doubt := 0.0
	if sizes.InDoubt {
		doubt = 1
	}
	m.doubted.Update(doubt)
}
