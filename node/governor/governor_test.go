package governor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	crowd  = netip.MustParseAddr("10.0.0.1")
	caller = netip.MustParseAddr("10.0.0.2")
)

// connection is a fake connection that records whether it was ended.
type connection struct {
	*Holder
	ended bool
}

func open(d *Door, now time.Time, source netip.Addr) *connection {
	c := &connection{}
	c.Holder = d.Open(now, source, func() { c.ended = true })
	return c
}

// Guards against a crowd that is spared at the cost of callers who hold little or have
// made progress.
func TestMemoryBound(t *testing.T) {
	const mb = 1 << 20
	tests := map[string]struct {
		play func(d *Door) (spared, ended []*connection)
	}{
		"the costliest connection goes": {func(d *Door) (spared, ended []*connection) {
			small, large := open(d, start, caller), open(d, start, caller)
			small.Add(mb)
			large.Add(8 * mb)
			return []*connection{small}, []*connection{large}
		}},
		"of equal ones the oldest goes": {func(d *Door) (spared, ended []*connection) {
			old, young := open(d, start, crowd), open(d, start.Add(time.Second), crowd)
			old.Add(3 * mb)
			young.Add(3 * mb)
			return []*connection{young}, []*connection{old}
		}},
		"a request in progress counts from its beginning": {func(d *Door) (spared, ended []*connection) {
			kept, stuck := open(d, start, crowd), open(d, start.Add(time.Second), crowd)
			kept.Begin(start.Add(2 * time.Second))
			kept.Add(3 * mb)
			stuck.Add(3 * mb)
			return []*connection{kept}, []*connection{stuck}
		}},
		"many small connections of one address go before a larger one of another": {func(d *Door) (spared, ended []*connection) {
			single := open(d, start, caller)
			single.Add(2 * mb)
			var members []*connection
			for number := range 8 {
				c := open(d, start.Add(time.Duration(number)*time.Millisecond), crowd)
				c.Add(mb / 2)
				members = append(members, c)
			}
			return []*connection{single}, members[:1]
		}},
		"what has been given back costs nothing": {func(d *Door) (spared, ended []*connection) {
			c := open(d, start, caller)
			for range 100 {
				c.Begin(start)
				c.Add(2 * mb)
				c.End(start)
			}
			return []*connection{c}, nil
		}},
		"another listener's reserved connections are spared": {func(d *Door) (spared, ended []*connection) {
			probe := open(d.governor.Door("ready", 8, mb), start, caller)
			probe.Add(4 * mb)
			large := open(d, start, crowd)
			large.Add(3 * mb)
			return []*connection{probe}, []*connection{large}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &Governor{Bytes: 5 * mb, Now: func() time.Time { return start }}
			spared, ended := test.play(g.Door("callers", 0, 0))
			for _, c := range spared {
				is.True(!c.ended)
			}
			for _, c := range ended {
				is.True(c.ended)
			}
			bytes, _ := g.Held()
			is.True(bytes <= g.Bytes)
		})
	}
}

// Guards against new callers that get no connection while others keep theirs without a
// request.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	g := &Governor{Connections: 4}
	d := g.Door("callers", 0, 0)
	working := open(d, start, crowd)
	working.Begin(start)
	var silent []*connection
	for second := range 3 {
		silent = append(silent, open(d, start.Add(time.Duration(second)*time.Second), crowd))
	}
	newest := open(d, start.Add(time.Minute), crowd)
	is.True(!working.ended && !newest.ended)
	is.True(silent[0].ended) // the longest without a request
	is.True(!silent[1].ended && !silent[2].ended)
	single := open(d, start.Add(time.Minute), caller)
	is.True(!single.ended)
	is.True(silent[1].ended) // of the address with the most connections
	_, connections := g.Held()
	is.Equal(connections, g.Connections)
}

// Guards against ended connections that take the descriptors of others until they
// close, and against a readiness probe that waits for them.
func TestAwaitDescriptors(t *testing.T) {
	is := is.New(t)
	g := &Governor{Connections: 8}
	d, ready := g.Door("callers", 0, 0), g.Door("ready", 8, 1<<20)
	waits := func(c *connection) bool {
		began := time.Now()
		c.AwaitDescriptors()
		return time.Since(began) >= maxDelay
	}
	var conns []*connection
	for number := range 9 {
		conns = append(conns, open(d, start.Add(time.Duration(number)*time.Second), crowd))
	}
	is.True(conns[0].ended && !waits(conns[8]))
	last := open(d, start.Add(time.Minute), crowd)
	is.True(conns[1].ended && waits(last))
	is.True(!waits(open(ready, start.Add(time.Minute), caller)))
	for _, c := range conns[:3] {
		c.Close()
		c.Close()
	}
	is.True(!waits(last))
	is.Equal(g.closing, 0)
}

// Guards against a new caller that is ended at once where all others have a request in
// progress.
func TestNewcomerAmongBusy(t *testing.T) {
	is := is.New(t)
	g := &Governor{Connections: 4}
	d := g.Door("callers", 0, 0)
	var busy []*connection
	for second := range 4 {
		c := open(d, start.Add(time.Duration(second)*time.Second), crowd)
		c.Begin(start.Add(time.Duration(second) * time.Second))
		busy = append(busy, c)
	}
	newcomer := open(d, start.Add(time.Minute), crowd)
	is.True(!newcomer.ended)
	is.True(busy[0].ended) // the one whose request began first
	is.True(!busy[1].ended && !busy[2].ended && !busy[3].ended)
}

// Guards against accounts that grow with connections that have long been closed.
func TestClosedConnections(t *testing.T) {
	is := is.New(t)
	g := &Governor{Bytes: 1 << 20, Connections: 16, Now: func() time.Time { return start }}
	d := g.Door("callers", 0, 0)
	for range 1000 {
		c := open(d, start, crowd)
		c.Add(1 << 19)
		c.Close()
		c.Add(1 << 19) // data that arrives after the end
		c.Close()
		is.True(!c.ended)
	}
	bytes, connections := g.Held()
	is.Equal(bytes, int64(0))
	is.Equal(connections, 0)
	is.Equal(len(g.sources), 0)
	is.Equal(d.used, usage{})
}

// Guards against an ended connection that waits for its own end, which keeps what it
// holds and delays all others.
func TestEndedConnectionsDoNotWait(t *testing.T) {
	const mb = 1 << 20
	newDoor := func() *Door {
		return (&Governor{Bytes: 5 * mb, Now: func() time.Time { return start }}).Door("callers", 0, 0)
	}
	tests := map[string]func(is *is.I){
		"ended by what it adds itself": func(is *is.I) {
			c := open(newDoor(), start, caller)
			wait := c.Add(6 * mb)
			is.True(c.ended && !wait)
		},
		"ended while it waits": func(is *is.I) {
			d := newDoor()
			largest, waiting, other := open(d, start, caller), open(d, start, caller), open(d, start, caller)
			largest.Add(4 * mb)
			waiting.Add(3 * mb)
			is.True(largest.ended && !waiting.ended)
			is.True(waiting.Add(1)) // until the largest has closed
			done := make(chan struct{})
			began := time.Now()
			go func() {
				defer close(done)
				waiting.Await()
			}()
			time.Sleep(10 * time.Millisecond)
			other.Add(2*mb + mb/2)
			is.True(waiting.ended)
			<-done
			is.True(time.Since(began) < maxDelay)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(is.New(t)) })
	}
}

// Guards against an account that falls below what an open connection costs, when bytes
// are given back after the request that held them has ended.
func TestLateRelease(t *testing.T) {
	is := is.New(t)
	g := &Governor{Bytes: 1 << 20, Now: func() time.Time { return start }}
	c := open(g.Door("callers", 0, 0), start, caller)
	c.Begin(start)
	c.Add(1 << 10)
	c.End(start)
	c.Add(-1 << 10)
	bytes, _ := g.Held()
	is.Equal(bytes, int64(connectionBytes))
	c.Close()
	bytes, _ = g.Held()
	is.Equal(bytes, int64(0))
}

// Guards against a log line for each ended connection of a crowd.
func TestEpisodes(t *testing.T) {
	is := is.New(t)
	started, stopped, total := 0, 0, 0
	g := &Governor{
		Connections: 1, Started: func(Bound) { started++ },
		Stopped: func(_ Bound, ended int) { stopped, total = stopped+1, ended },
	}
	d := g.Door("callers", 0, 0)
	for range 11 {
		open(d, start, crowd)
	}
	g.Check(start.Add(quietPeriod - 1))
	is.Equal(started, 1)
	is.Equal(stopped, 0)
	g.Check(start.Add(quietPeriod))
	is.Equal(stopped, 1)
	is.Equal(total, 10)
}
