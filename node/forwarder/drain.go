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
	quietTime = 250 * time.Millisecond
	quietStep = 10 * time.Millisecond
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
	last time.Time
	// empty is closed when the entrance is closed and no call is in flight.
	empty chan struct{}
}

// enter counts a call, unless the entrance is closed.
func (d *drain) enter() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.enterLocked()
}

// enterPeer counts a call of a peer.
func (d *drain) enterPeer() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.lingering && d.enterLocked()
}

func (d *drain) enterLocked() bool {
	if d.closed {
		return false
	}
	d.inFlight++
	d.touch()
	return true
}

func (d *drain) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.inFlight--
	d.touch()
	if d.closed && d.inFlight == 0 {
		close(d.empty)
	}
}

func (d *drain) touch() {
	if d.lingering {
		d.last = time.Now()
	}
}

// linger refuses peers from now on.
func (d *drain) linger() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lingering, d.last = true, time.Now()
}

// leaving reports whether callers are to close their connections.
func (d *drain) leaving() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lingering
}

// quiet reports whether there was no call for a while.
func (d *drain) quiet(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.inFlight == 0 && now.Sub(d.last) >= quietTime
}

// close closes the entrance and returns a channel that is closed when the last
// call has left.
func (d *drain) close() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.closed {
		d.closed = true
		d.empty = make(chan struct{})
		if d.inFlight == 0 {
			close(d.empty)
		}
	}
	return d.empty
}

// Drain keeps serving for Grace. Then it refuses peers, and serves callers until
// they are quiet, at most for Linger. At last it refuses all new calls and
// returns when the calls in flight have ended or ctx is done.
func (f *Forwarder) Drain(ctx context.Context) error {
	if err := sleep(ctx, f.Grace); err != nil {
		return err
	}
	f.drain.linger()
	begun := time.Now()
	for now := begun; now.Sub(begun) < f.Linger && !f.drain.quiet(now) && sleep(ctx, quietStep) == nil; {
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
