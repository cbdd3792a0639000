package connector

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// metrics caches the counters, since a look-up in a tally scope takes locks and
// builds tag maps.
type metrics struct {
	scope    tally.Scope
	sessions tally.Gauge
	mu       sync.Mutex
	counters map[[4]string]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("connector")
	return &metrics{scope: scope, sessions: scope.Gauge("sessions"), counters: map[[4]string]tally.Counter{}}
}

func (m *metrics) counter(key [4]string, tags map[string]string) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := m.counters[key]
	if counter == nil {
		counter = m.scope.Tagged(tags).Counter(key[0])
		m.counters[key] = counter
	}
	return counter
}

// rejected counts connections and streams that a limit or a check rejected.
func (m *metrics) rejected(reason string) {
	m.counter([4]string{"rejected", reason}, map[string]string{"reason": reason}).Inc(1)
}

// closed counts closed sessions by reason.
func (m *metrics) closed(reason string) {
	m.counter([4]string{"closed", reason}, map[string]string{"reason": reason}).Inc(1)
}

func (m *metrics) dialled(result string) {
	m.counter([4]string{"dials", result}, map[string]string{"result": result}).Inc(1)
}

// directionCounter returns the named counter for a scope and a direction.
func (m *metrics) directionCounter(name string, scope Scope, direction string) tally.Counter {
	return m.counter([4]string{name, string(scope), direction},
		map[string]string{"scope": string(scope), "direction": direction})
}

func (m *metrics) streamBytes(scope Scope, direction, kind string) tally.Counter {
	return m.counter([4]string{"stream_bytes", string(scope), direction, kind},
		map[string]string{"scope": string(scope), "direction": direction, "kind": kind})
}

// flush adds the counts of a session since the last flush to the counters.
// Network bytes are wire bytes plus TCP and IP headers.
func (m *metrics) flush(s *session) {
	conn := s.conn
	conn.sample()
	for direction, counts := range map[string][3]*atomic.Int64{
		"in":  {&conn.bytesIn, &conn.headersIn, &conn.segmentsIn},
		"out": {&conn.bytesOut, &conn.headersOut, &conn.segmentsOut},
	} {
		wireBytes := counts[0].Swap(0)
		m.directionCounter("wire_bytes", s.scope, direction).Inc(wireBytes)
		m.directionCounter("network_bytes", s.scope, direction).Inc(wireBytes + counts[1].Swap(0))
		m.directionCounter("segments", s.scope, direction).Inc(counts[2].Swap(0))
	}
}
