package forwarder

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// parkedMax bounds the streams that wait for a call to one address.
	maxIdlePerPeer = 16
	// parkedClient is the time for which a stream waits for its next call. It
	// is shorter than the peer's, so that the peer does not close it first.
	clientIdleTimeout = 10 * time.Second
	serverIdleTimeout = 30 * time.Second
	// waitingMax bounds the streams of all peers that wait for a call. Each has
	// two goroutines and its buffers, some 20 KB.
	maxIdlePeerStreams = 512
)

// parked is a stream between two calls.
type idleStream struct {
	frames    *frameStream
	idleSince time.Time
}

// pool keeps streams that have carried a call to its clean end. Opening and
// closing a stream costs more than a small call itself.
type pool struct {
	mutex     sync.Mutex
	streams   map[netip.AddrPort][]idleStream
	lastSweep time.Time
	closed    bool
}

// take returns the stream that was used last, or nil.
func (p *pool) get(now time.Time, to netip.AddrPort) *frameStream {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeExpired(now)
	idle := p.streams[to]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.streams[to] = idle[:len(idle)-1]
	return last.frames
}

// give parks a stream, or closes it when there are enough.
func (p *pool) put(now time.Time, to netip.AddrPort, s *frameStream) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.streams[to]) >= maxIdlePerPeer {
		_ = s.conn.Close()
		return
	}
	if p.streams == nil {
		p.streams = map[netip.AddrPort][]idleStream{}
	}
	s.shrink()
	p.streams[to] = append(p.streams[to], idleStream{s, now})
}

// sweep closes the streams that have waited too long.
func (p *pool) closeExpired(now time.Time) {
	if now.Sub(p.lastSweep) < clientIdleTimeout/10 {
		return
	}
	p.lastSweep = now
	for to, idle := range p.streams {
		kept := idle[:0]
		for _, each := range idle {
			if now.Sub(each.idleSince) < clientIdleTimeout {
				kept = append(kept, each)
			} else {
				_ = each.frames.conn.Close()
			}
		}
		if p.streams[to] = kept; len(kept) == 0 {
			delete(p.streams, to)
		}
	}
}

// close closes all parked streams and parks no more.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, idle := range p.streams {
		for _, each := range idle {
			_ = each.frames.conn.Close()
		}
	}
	p.streams = nil
}
