package forwarder

import (
	"context"
	"sync"
	"time"
)

const (
	// quietTime is the time without a call after which a lingering forwarder
	// expects no request to be on its way on an open connection. A request on
	// an instance's own network arrives within a few milliseconds.
	quietPeriod       = 250 * time.Millisecond
	quietPollInterval = 10 * time.Millisecond
)

// drain counts the calls in flight and closes the entrance.
type drain struct {
	mutex    sync.Mutex
	inFlight int
	// lingering is set when peers are refused and callers are to go, closed
	// when callers are refused too.
	lingering bool
	closed    bool
	// last is the time of the last call that entered or left while lingering.
	lastActivity time.Time
	// empty is closed when the entrance is closed and no call is in flight.
	drained chan struct{}
}

// enter counts a call, unless the entrance is closed.
func (d *drain) begin() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.beginLocked()
}

// enterPeer counts a call of a peer.
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

// linger refuses peers from now on.
func (d *drain) linger() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lingering, d.lastActivity = true, time.Now()
}

// leaving reports whether callers are to close their connections.
func (d *drain) isLingering() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lingering
}

// quiet reports whether there was no call for a while.
func (d *drain) isQuiet(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inFlight == 0 && now.Sub(d.lastActivity) >= quietPeriod
}

// close closes the entrance and returns a channel that is closed when the last
// call has left.
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

// Drain keeps serving for Grace. Then it refuses peers, and serves callers until
// they are quiet, at most for Linger. At last it refuses all new calls and
// returns when the calls in flight have ended or ctx is done.
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
