package forwarder

import (
	"context"
	"sync"
	"time"
)

const (
	// quietPeriod is the time without a call after which a lingering forwarder
	// assumes that no request is in transit on an open connection. A request on
	// an instance's own network arrives within a few milliseconds.
	quietPeriod       = 250 * time.Millisecond
	quietPollInterval = 10 * time.Millisecond
)

// drain counts the calls in flight and stops the admission of calls.
type drain struct {
	mutex    sync.Mutex
	inFlight int
	// lingering says that peers are refused and callers are told to close their
	// connections, closed that callers are refused too.
	lingering bool
	closed    bool
	// lastActivity is when a call last started or ended while lingering.
	lastActivity time.Time
	// drained is closed once closed is set and no call is in flight.
	drained chan struct{}
}

// begin counts a caller's call as in flight. It returns false if calls are
// refused.
func (d *drain) begin() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.beginLocked()
}

// beginPeer is begin for a call from a peer.
func (d *drain) beginPeer() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.lingering && d.beginLocked()
}

func (d *drain) beginLocked() bool {
	if d.closed {
		return false
	}
	d.inFlight++
	d.recordActivity()
	return true
}

func (d *drain) end() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.inFlight--
	d.recordActivity()
	if d.closed && d.inFlight == 0 {
		close(d.drained)
	}
}

func (d *drain) recordActivity() {
	if d.lingering {
		d.lastActivity = time.Now()
	}
}

// linger starts refusing peers.
func (d *drain) linger() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lingering, d.lastActivity = true, time.Now()
}

// isLingering reports whether callers are told to close their connections.
func (d *drain) isLingering() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lingering
}

// isQuiet reports whether no call was in flight for quietPeriod.
func (d *drain) isQuiet(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inFlight == 0 && now.Sub(d.lastActivity) >= quietPeriod
}

// close starts refusing all calls and returns a channel that is closed when the
// last call in flight has ended.
func (d *drain) close() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.closed {
		d.closed = true
		d.drained = make(chan struct{})
		if d.inFlight == 0 {
			close(d.drained)
		}
	}
	return d.drained
}

// Drain keeps serving for Grace. It then refuses peers and serves callers until
// they have sent no call for a quiet period, for at most Linger. Finally it
// refuses all new calls and returns when the calls in flight have ended or ctx
// is done.
func (f *Forwarder) Drain(ctx context.Context) error {
	if err := sleep(ctx, f.Grace); err != nil {
		return err
	}
	f.drain.linger()
	start := time.Now()
	for now := start; now.Sub(start) < f.Linger && !f.drain.isQuiet(now) && sleep(ctx, quietPollInterval) == nil; {
		now = time.Now()
	}
	defer f.pool.close()
	select {
	case <-f.drain.close():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
