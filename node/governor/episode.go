package governor

import "time"

// quietPeriod is the time without an ended connection after which a bound no longer
// binds.
const quietPeriod = 5 * time.Second

// episode is the time during which a bound ends connections.
type episode struct {
	ended int
	last  time.Time
}

// record counts an ended connection, and reports the start of an episode.
func (e *episode) record(g *Governor, now time.Time, bound Bound) {
	if e.ended == 0 && g.Started != nil {
		g.Started(bound)
	}
	e.ended++
	e.last = now
}

// Check reports the bounds that no longer bind. It is called from time to time.
func (g *Governor) Check(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for bound := range g.binding {
		e := &g.binding[bound]
		if e.ended == 0 || now.Sub(e.last) < quietPeriod {
			continue
		}
		if g.Stopped != nil {
			g.Stopped(Bound(bound), e.ended)
		}
		*e = episode{}
	}
}

// Held returns the bytes and the connections that are accounted for.
func (g *Governor) Held() (bytes int64, connections int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.bytes, len(g.holders)
}
