// Package governor bounds the memory and the connections that callers make a process
// hold, over all of its listeners. Beyond a bound, it ends the connections that cost
// most and have made the least progress.
package governor

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrEvicted is the error of a read from a connection that was ended to make room.
var ErrEvicted = errors.New("connection ended to make room for others")

// connectionBytes is what an open connection costs beside its requests: the stack of
// its goroutine, and the buffers of the server.
const connectionBytes = 16 << 10

// Governor accounts for the connections of one process. Its fields must be set before
// the first call.
type Governor struct {
	// Bytes bounds the memory held for callers, Connections their open connections.
	// Zero means no bound.
	Bytes       int64
	Connections int
	// Now returns the time at which a connection is ended for the sake of memory.
	Now func() time.Time
	// Started and Stopped are called when a bound starts to end connections, and
	// when it has ended none for quietPeriod.
	Started func(bound Bound)
	Stopped func(bound Bound, ended int)
	// Evicted counts an ended connection.
	Evicted func(door string, bound Bound)

	mutex sync.Mutex
	// bytes is what the open connections hold, and departing what ended ones hold
	// until they close.
	bytes, departing int64
	// closing is the number of ended connections that have not closed.
	closing int
	holders map[*Holder]struct{}
	// room is closed and replaced when an ended connection closes.
	room chan struct{}
	// sources holds what the connections from one address cost together.
	sources map[netip.Addr]*usage
	binding [2]episode
}

// Bound is one of the bounds of a Governor.
type Bound int

// Bounds of a Governor.
const (
	Memory Bound = iota
	Connections
)

// String returns the name of the bound in logs and metrics.
func (b Bound) String() string { return [...]string{"memory", "connections"}[b] }

// usage is what a group of connections holds.
type usage struct {
	bytes       int64
	connections int
}

// Door is a listener whose connections are accounted for.
type Door struct {
	governor *Governor
	name     string
	// reservedBytes and reserved are what the connections of the door may hold
	// without being ended for the sake of other doors.
	reservedBytes int64
	reserved      int
	used          usage
}

// Door returns a door. The connections of other doors can't displace the reserved
// number of its connections, each with reservedBytes at most on average.
func (g *Governor) Door(name string, reserved int, reservedBytes int64) *Door {
	return &Door{governor: g, name: name, reserved: reserved, reservedBytes: int64(reserved) * reservedBytes}
}

// Holder is the account of one connection.
type Holder struct {
	door   *Door
	source netip.Addr
	// evict ends the connection. It must not block or call the governor.
	evict func()
	bytes int64
	// departing is what the connection held when it was ended, until it closes.
	departing int64
	// since is when the request in progress began, or the connection became idle.
	since time.Time
	// busy is set while a request is in progress.
	busy bool
	// ended is closed when the connection is ended to make room.
	ended chan struct{}
}

// Open accounts for a connection from source. It ends another one if there are too
// many.
func (d *Door) Open(now time.Time, source netip.Addr, evict func()) *Holder {
	g := d.governor
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.holders == nil {
		g.holders, g.sources = map[*Holder]struct{}{}, map[netip.Addr]*usage{}
	}
	// The newcomer is not among those that can end: it has had no time for a request.
	if g.Connections > 0 && len(g.holders) >= g.Connections {
		g.end(now, g.leastActive(), Connections)
	}
	h := &Holder{door: d, source: source, evict: evict, since: now, ended: make(chan struct{})}
	g.holders[h] = struct{}{}
	if g.sources[source] == nil {
		g.sources[source] = &usage{}
	}
	g.sources[source].connections++
	d.used.connections++
	g.change(h, connectionBytes)
	g.makeRoom()
	return h
}

// Add accounts for further bytes, or for bytes that are no longer held. It reports
// whether the connection has to call Await before it holds more. One that has been
// ended must not wait, since others wait until it has closed.
func (h *Holder) Add(bytes int64) (wait bool) {
	g := h.door.governor
	g.mutex.Lock()
	defer g.mutex.Unlock()
	// With HTTP/2, bytes may be given back after End has dropped them.
	g.change(h, max(bytes, connectionBytes-h.bytes))
	g.makeRoom()
	_, open := g.holders[h]
	return open && !g.hasRoom()
}

// hasRoom reports whether what ended connections still hold fits beside the others.
func (g *Governor) hasRoom() bool {
	return g.Bytes == 0 || g.departing == 0 || g.bytes+g.departing <= g.Bytes
}

// maxDelay bounds each wait, for connections that take long to close.
const maxDelay = time.Second

// Await delays a connection that is about to hold more until those that have been ended
// for its sake have closed, or it is ended itself.
func (h *Holder) Await() { h.await(h.door.governor.hasRoom) }

// closingShare is the divisor of the bound for connections that ended ones may use
// beyond it until they close.
const closingShare = 8

// AwaitDescriptors delays the acceptance of further connections while too many that
// have been ended are still open. The reserved connections of a door don't wait.
func (h *Holder) AwaitDescriptors() {
	g := h.door.governor
	h.await(func() bool {
		return g.Connections == 0 || g.closing == 0 || h.door.protected() ||
			len(g.holders)+g.closing <= g.Connections+g.Connections/closingShare
	})
}

// await waits until fits, which is called with the mutex locked, returns true.
func (h *Holder) await(fits func() bool) {
	g := h.door.governor
	timer := time.NewTimer(maxDelay)
	defer timer.Stop()
	for {
		g.mutex.Lock()
		done := fits()
		if g.room == nil {
			g.room = make(chan struct{})
		}
		room := g.room
		g.mutex.Unlock()
		if done {
			return
		}
		select {
		case <-room:
		case <-h.ended:
			return
		case <-timer.C:
			return
		}
	}
}

// Begin records that a request has begun, End that it has ended and that nothing is
// held for it any more.
func (h *Holder) Begin(now time.Time) { h.setBusy(now, true) }

// End records the end of a request.
func (h *Holder) End(now time.Time) { h.setBusy(now, false) }

func (h *Holder) setBusy(now time.Time, busy bool) {
	g := h.door.governor
	g.mutex.Lock()
	defer g.mutex.Unlock()
	h.since, h.busy = now, busy
	if !busy {
		g.change(h, connectionBytes-h.bytes)
	}
}

// Close ends the account of a connection.
func (h *Holder) Close() {
	g := h.door.governor
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.remove(h)
	if h.departing > 0 {
		g.departing -= h.departing
		g.closing--
		h.departing = 0
		if g.room != nil {
			close(g.room)
			g.room = nil
		}
	}
}

// change adds bytes to the account of h, unless it has been closed.
func (g *Governor) change(h *Holder, bytes int64) {
	if _, open := g.holders[h]; !open {
		return
	}
	h.bytes += bytes
	h.door.used.bytes += bytes
	g.sources[h.source].bytes += bytes
	g.bytes += bytes
}

func (g *Governor) remove(h *Holder) {
	if _, open := g.holders[h]; !open {
		return
	}
	g.change(h, -h.bytes)
	delete(g.holders, h)
	h.door.used.connections--
	source := g.sources[h.source]
	if source.connections--; source.connections == 0 {
		delete(g.sources, h.source)
	}
}

// makeRoom ends connections until the others fit.
func (g *Governor) makeRoom() {
	for g.Bytes > 0 && g.bytes > g.Bytes {
		victim := g.costliest()
		if victim == nil {
			return
		}
		g.end(g.Now(), victim, Memory)
	}
}

// end ends a connection. What it holds no longer counts towards the bound, but delays
// others until it has closed.
func (g *Governor) end(now time.Time, h *Holder, bound Bound) {
	if h == nil {
		return
	}
	h.departing = h.bytes
	g.departing += h.bytes
	g.closing++
	g.remove(h)
	close(h.ended)
	h.evict()
	if g.Evicted != nil {
		g.Evicted(h.door.name, bound)
	}
	g.binding[bound].record(g, now, bound)
}
