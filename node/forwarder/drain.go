package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// quietPeriod is the time without a call after which a lingering forwarder
	// assumes that no request is in transit on an open connection. A request on
	// an instance's own network arrives within a few milliseconds.
	quietPeriod       = 250 * time.Millisecond
	quietPollInterval = 10 * time.Millisecond
	// stopReplyTime is the time for the answers to the calls that are still in
	// flight when the drain ends.
	stopReplyTime = 100 * time.Millisecond
)

// errStopping is the cause of the end of calls that the drain has not waited for.
var errStopping = errors.New("the node stops")

// callEnd describes when a call is expected to end. A zero time means unknown.
type callEnd struct {
	// latest is the deadline of the call.
	latest time.Time
	// likely is the time by which nearly all calls like it have ended.
	likely time.Time
}

// drain counts the calls in flight and stops the admission of calls.
type drain struct {
	mutex sync.Mutex
	// calls holds the calls in flight.
	calls map[*watchdog]struct{}
	// deadline is when the calls in flight are ended. It is zero until the drain
	// starts, and for a drain without a limit.
	deadline time.Time
	// lingering says that peers are refused and callers are told to close their
	// connections, closed that callers are refused too.
	lingering bool
	closed    bool
	// lastActivity is when a call last started or ended while lingering.
	lastActivity time.Time
	// drained is closed once closed is set and no call is in flight.
	drained chan struct{}
}

// begin adds a caller's call to those in flight. It returns false if calls are
// refused, or if this one would probably outlast the drain. It calls end only
// during a drain with a deadline.
func (d *drain) begin(w *watchdog, end func() callEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.beginLocked(w, end)
}

// beginPeer is begin for a call from a peer.
func (d *drain) beginPeer(w *watchdog, end func() callEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.lingering && d.beginLocked(w, end)
}

func (d *drain) beginLocked(w *watchdog, end func() callEnd) bool {
	if d.closed || !d.deadline.IsZero() && !d.outlasts(end()) {
		return false
	}
	if d.calls == nil {
		d.calls = map[*watchdog]struct{}{}
	}
	d.calls[w] = struct{}{}
	d.recordActivity()
	return true
}

// outlasts reports whether the drain lasts until the end of a call. While callers
// and peers learn of the drain, the likely end is enough, since a refusal would
// send them back to this node. Later, a call must have its deadline before the end
// of the drain.
func (d *drain) outlasts(end callEnd) bool {
	switch {
	case !end.latest.IsZero() && !end.latest.After(d.deadline):
		return true
	case d.lingering:
		return false
	default:
		return !end.likely.After(d.deadline)
	}
}

func (d *drain) end(w *watchdog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.calls, w)
	d.recordActivity()
	if d.closed && len(d.calls) == 0 {
		close(d.drained)
	}
}

// start sets the time at which the calls in flight are ended.
func (d *drain) start(deadline time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deadline = deadline
}

// cancelCalls ends the calls in flight.
func (d *drain) cancelCalls() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for w := range d.calls {
		w.cancelCall(errStopping)
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
	return len(d.calls) == 0 && now.Sub(d.lastActivity) >= quietPeriod
}

// close starts refusing all calls and returns a channel that is closed when the
// last call in flight has ended.
func (d *drain) close() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.closed {
		d.closed = true
		d.drained = make(chan struct{})
		if len(d.calls) == 0 {
			close(d.drained)
		}
	}
	return d.drained
}

// Drain keeps serving for Grace. It then refuses peers and serves callers until
// they have sent no call for a quiet period, for at most Linger. Finally it
// refuses all new calls and returns when the calls in flight have ended. A call
// that would outlast the deadline of ctx is refused from the start. One that does
// so all the same is ended at the deadline, with an answer that says whether it
// may have run, and an error is returned.
func (f *Forwarder) Drain(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		f.drain.start(deadline)
	}
	if err := sleep(ctx, f.Grace); err != nil {
		return err
	}
	f.drain.linger()
	start := time.Now()
	for now := start; now.Sub(start) < f.Linger && !f.drain.isQuiet(now) && sleep(ctx, quietPollInterval) == nil; {
		now = time.Now()
	}
	defer f.pool.close()
	drained := f.drain.close()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
	}
	f.drain.cancelCalls()
	select {
	case <-drained:
	case <-time.After(stopReplyTime):
	}
	return context.Cause(ctx)
}

// expectedEnd returns when a call that starts now is expected to end.
func (f *Forwarder) expectedEnd(now time.Time, c *call) callEnd {
	end := callEnd{latest: c.deadline}
	if took, ok := f.answerTimes.Bound(c.match.kind()); ok {
		end.likely = now.Add(took)
	}
	return end
}
