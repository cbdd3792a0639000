package forwarder

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// parkedMax bounds the streams that wait for a call to one address.
	parkedMax = 16
	// parkedClient is the time for which a stream waits for its next call. It
	// is shorter than the peer's, so that the peer does not close it first.
	parkedClient = 10 * time.Second
	parkedServer = 30 * time.Second
	// waitingMax bounds the streams of all peers that wait for a call. Each has
	// two goroutines and its buffers, some 20 KB.
	waitingMax = 512
)

// parked is a stream between two calls.
type parked struct {
	link  *link
	since time.Time
}

// pool keeps streams that have carried a call to its clean end. Opening and
// closing a stream costs more than a small call itself.
type pool struct {
	mutex   sync.Mutex
	streams map[netip.AddrPort][]parked
	swept   time.Time
	closed  bool
}

// take returns the stream that was used last, or nil.
func (p *pool) take(now time.Time, to netip.AddrPort) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweep(now)
	waiting := p.streams[to]
	if len(waiting) == 0 {
		return nil
	}
	last := waiting[len(waiting)-1]
	p.streams[to] = waiting[:len(waiting)-1]
	return last.link
}

// give parks a stream, or closes it when there are enough.
func (p *pool) give(now time.Time, to netip.AddrPort, l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.streams[to]) >= parkedMax {
		_ = l.conn.Close()
		return
	}
	if p.streams == nil {
		p.streams = map[netip.AddrPort][]parked{}
	}
	l.shrink()
	p.streams[to] = append(p.streams[to], parked{l, now})
}

// sweep closes the streams that have waited too long.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.swept) < parkedClient/10 {
		return
	}
	p.swept = now
	for to, waiting := range p.streams {
		kept := waiting[:0]
		for _, each := range waiting {
			if now.Sub(each.since) < parkedClient {
				kept = append(kept, each)
			} else {
				_ = each.link.conn.Close()
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
	for _, waiting := range p.streams {
		for _, each := range waiting {
			_ = each.link.conn.Close()
		}
	}
	p.streams = nil
}
