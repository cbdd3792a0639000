package forwarder

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxIdlePerPeer bounds the idle streams to one address.
	maxIdlePerPeer = 16
	// clientIdleTimeout is how long a stream waits for its next call. It is
	// shorter than the peer's serverIdleTimeout, so that the peer does not close
	// the stream first.
	clientIdleTimeout = 10 * time.Second
	serverIdleTimeout = 30 * time.Second
	// maxIdlePeerStreams bounds the idle streams of all peers. Each takes two
	// goroutines and about 20 KB of buffers.
	maxIdlePeerStreams = 512
)

// idleStream is a stream between two calls.
type idleStream struct {
	frames    *frameStream
	idleSince time.Time
}

// pool keeps streams whose last call ended cleanly. Opening and closing a stream
// costs more than a small call.
type pool struct {
	mutex     sync.Mutex
	streams   map[netip.AddrPort][]idleStream
	lastSweep time.Time
	closed    bool
}

// get returns the stream that was used last, or nil.
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

// put keeps a stream for the next call, or closes it if there are enough.
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

// closeExpired closes the streams that were idle for too long.
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

// close closes all idle streams. Streams put later are closed at once.
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
