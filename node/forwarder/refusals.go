package forwarder

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// returnsMax bounds the refused calls that are remembered.
	maxRefusedCalls = 4096
	// returnSlack is how much longer than before a caller may say that it waits
	// when it comes back: it rounds, and its clock is not this node's.
	deadlineTolerance = 100 * time.Millisecond
)

// returns remembers calls that were refused, by method, host and target. Callers
// come back to the node that refused them, with a new id; a call that comes back
// counts from its first arrival, since its caller's objective does.
type refusalCache struct {
	seed  maphash.Seed
	mutex sync.Mutex
	calls map[uint64]refusedCall
}

// refused is a call that was refused. Its caller gives up at until.
type refusedCall struct {
	arrived        time.Time
	callerDeadline time.Time
}

func newRefusalCache() *refusalCache {
	return &refusalCache{seed: maphash.MakeSeed(), calls: map[uint64]refusedCall{}}
}

func (r *refusalCache) key(c *call) uint64 {
	return maphash.Comparable(r.seed, [3]string{c.method, c.host, c.target})
}

// add remembers c, which is refused at now. Calls whose callers don't say how long
// they wait are left out: nothing would tell their return from another call.
func (r *refusalCache) add(now time.Time, c *call) {
	if !now.Before(c.callerDeadline) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.calls) >= maxRefusedCalls {
		for key, old := range r.calls {
			if !now.Before(old.callerDeadline) {
				delete(r.calls, key)
			}
		}
		if len(r.calls) >= maxRefusedCalls {
			return
		}
	}
	r.calls[r.key(c)] = refusedCall{arrived: c.arrived, callerDeadline: c.callerDeadline}
}

// first returns when c arrived first, if it is a call that comes back: the caller
// gives up no later than that of the refused one.
func (r *refusalCache) takeArrival(now time.Time, c *call) (time.Time, bool) {
	if c.callerDeadline.IsZero() {
		return time.Time{}, false
	}
	key := r.key(c)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old, ok := r.calls[key]
	if !ok || !now.Before(old.callerDeadline) || c.callerDeadline.After(old.callerDeadline.Add(deadlineTolerance)) {
		return time.Time{}, false
	}
	delete(r.calls, key)
	return old.arrived, true
}
