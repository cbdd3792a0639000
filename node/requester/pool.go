package requester

import (
	"sync"
	"time"
)

const (
	// minSweepInterval is the minimum time between two sweeps.
	minSweepInterval = 500 * time.Millisecond
	// maxSweepInterval is the maximum time between two sweeps while connections are
	// idle. An upstream in trouble may write on one until it is closed.
	maxSweepInterval = time.Second
)

// pool counts the open connections and holds the idle ones. The most recently
// used connection is taken first, so that surplus ones expire.
type pool struct {
	mutex   sync.Mutex
	maxOpen int
	open    int
	idle    []*conn
	closed  bool
	// timer runs sweep at nextSweep, unless that is zero.
	timer     *time.Timer
	nextSweep time.Time
}

// get returns an idle connection, or nil after reserving a slot for a new one.
// If neither is available, it returns the reason.
func (p *pool) get() (*conn, string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ReasonUnreachable
	}
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, ""
	}
	if p.open >= p.maxOpen {
		return nil, ReasonConnectionsFull
	}
	p.open++
	return nil, ""
}

// put keeps an idle connection until it expires.
func (p *pool) put(now time.Time, c *conn) {
	p.mutex.Lock()
	closed := p.closed
	if !closed {
		c.reused = true
		p.idle = append(p.idle, c)
		p.scheduleSweep(now, c.expires)
	}
	p.mutex.Unlock()
	if closed {
		p.drop(c)
	}
}

// scheduleSweep sets the timer to the expiry of the first connection, but at
// most maxSweepInterval from now.
func (p *pool) scheduleSweep(now, expires time.Time) {
	wait := min(max(minSweepInterval, expires.Sub(now)), maxSweepInterval)
	next := now.Add(wait)
	if !p.nextSweep.IsZero() && !next.Before(p.nextSweep) {
		return
	}
	p.nextSweep = next
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, func() { p.sweep(time.Now()) })
		return
	}
	p.timer.Reset(wait)
}

// sweep closes the idle connections that have expired, have unread data, or were
// closed by the upstream.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	var expired []*conn
	unexpired := p.idle[:0]
	p.nextSweep = time.Time{}
	for _, c := range p.idle {
		if now.Before(c.expires) && reusable(c.raw) {
			unexpired = append(unexpired, c)
			p.scheduleSweep(now, c.expires)
		} else {
			expired = append(expired, c)
		}
	}
	clear(p.idle[len(unexpired):])
	p.idle = unexpired
	p.mutex.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
}

// close closes the idle connections and rejects further requests.
func (p *pool) close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mutex.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// drop closes a connection and releases its slot. It may be called repeatedly,
// and returns only once the connection is closed.
func (p *pool) drop(c *conn) {
	c.closeOnce.Do(func() {
		_ = c.Close()
		p.releaseSlot()
	})
}

// releaseSlot stops counting a connection as open.
func (p *pool) releaseSlot() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}
