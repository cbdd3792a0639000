package deduplicator

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 10 * time.Second

// metrics are the metrics of the records of keys and their transfer.
type metrics struct {
	scope                                    tally.Scope
	received, sent, reconciled               tally.Counter
	keys, tombstones, responseBytes, inDoubt tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("keys")
	return &metrics{
		scope:    scope,
		received: scope.Counter("received"), sent: scope.Counter("sent"), reconciled: scope.Counter("strangers"),
		keys: scope.Gauge("records"), tombstones: scope.Gauge("traces"), responseBytes: scope.Gauge("response_bytes"),
		inDoubt: scope.Gauge("in_doubt"),
	}
}

// countTransfer counts a join or a leave of this process, as given by kind.
func (m *metrics) countTransfer(kind string, complete bool) {
	m.scope.Tagged(map[string]string{"complete": strconv.FormatBool(complete)}).Counter(kind).Inc(1)
}

// Sizes holds the number of keys and tombstones and the total size of the recorded
// responses in bytes. InDoubt is set while every unknown key is uncertain.
type Sizes struct {
	Keys, Tombstones, ResponseBytes int
	InDoubt                         bool
}

// Sizes returns the sizes after expired records have been removed.
func (d *Deduplicator) Sizes(now time.Time) Sizes {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	return Sizes{
		Keys: len(d.keys.records), Tombstones: len(d.keys.tombstones), ResponseBytes: d.keys.responseBytes,
		InDoubt: d.historyIncomplete(now) || len(d.membership.unreconciled) > 0,
	}
}

func (m *metrics) update(sizes Sizes) {
	m.keys.Update(float64(sizes.Keys))
	m.tombstones.Update(float64(sizes.Tombstones))
	m.responseBytes.Update(float64(sizes.ResponseBytes))
	inDoubt := 0.0
	if sizes.InDoubt {
		inDoubt = 1
	}
	m.inDoubt.Update(inDoubt)
}
