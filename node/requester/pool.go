package requester

import (
	"sync"
	"time"
)

// sweepLeast is the shortest time between two sweeps.
const sweepLeast = 500 * time.Millisecond

// pool counts the open connections and keeps those that carry no request. The
// one used last is taken first, so that those which nobody needs expire.
type pool struct {
	mutex  sync.Mutex
	most   int
	open   int
	kept   []*conn
	closed bool
	// timer runs sweep at due, unless due is zero.
	timer *time.Timer
	due   time.Time
}

// take returns a kept connection, or nil after counting a new one. The reason
// is empty unless there is neither.
func (p *pool) take() (*conn, string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ReasonUnreachable
	}
	if last := len(p.kept) - 1; last >= 0 {
		c := p.kept[last]
		p.kept[last] = nil
		p.kept = p.kept[:last]
		return c, ""
	}
	if p.open >= p.most {
		return nil, ReasonFull
	}
	p.open++
	return nil, ""
}

// give keeps a connection until it expires.
func (p *pool) give(now time.Time, c *conn) {
	p.mutex.Lock()
	closed := p.closed
	if !closed {
		c.kept = true
		p.kept = append(p.kept, c)
		p.arm(now, c.expires)
	}
	p.mutex.Unlock()
	if closed {
		p.drop(c)
	}
}

// arm has the next sweep run when the first connection expires.
func (p *pool) arm(now, expires time.Time) {
	if !p.due.IsZero() && !expires.Before(p.due) {
		return
	}
	wait := max(sweepLeast, expires.Sub(now))
	p.due = now.Add(wait)
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, func() { p.sweep(time.Now()) })
		return
	}
	p.timer.Reset(wait)
}

// sweep closes the kept connections that have expired.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	var expired []*conn
	valid := p.kept[:0]
	p.due = time.Time{}
	for _, c := range p.kept {
		if now.Before(c.expires) {
			valid = append(valid, c)
			p.arm(now, c.expires)
		} else {
			expired = append(expired, c)
		}
	}
	clear(p.kept[len(valid):])
	p.kept = valid
	p.mutex.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
}

// close closes the kept connections and the pool.
func (p *pool) close() {
	p.mutex.Lock()
	kept := p.kept
	p.kept = nil
	p.closed = true
	p.mutex.Unlock()
	for _, c := range kept {
		p.drop(c)
	}
}

// drop closes a connection. It may be called again, and returns when the
// connection is closed.
func (p *pool) drop(c *conn) {
	c.dropped.Do(func() {
		_ = c.Close()
		p.release()
	})
}

// release counts a connection as closed.
func (p *pool) release() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}
