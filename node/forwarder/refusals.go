package forwarder

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// maxRefusedCalls is the maximum number of refused calls in a refusalCache.
	maxRefusedCalls = 4096
	// deadlineTolerance is how much later the deadline of a retry may be than
	// that of the refused call, since callers round their timeouts and their
	// clocks differ from this node's.
	deadlineTolerance = 100 * time.Millisecond
)

// refusalCache holds refused calls by method, host, target and client account.
// Callers retry a refused call at the same node, under a new id. The age of a
// retried call counts from its first arrival, as does its caller's latency
// objective.
type refusalCache struct {
	seed  maphash.Seed
	mutex sync.Mutex
	calls map[uint64]refusedCall
}

// refusedCall is a call that was refused. Its caller gives up at callerDeadline.
type refusedCall struct {
	arrived        time.Time
	callerDeadline time.Time
}

func newRefusalCache() *refusalCache {
	return &refusalCache{seed: maphash.MakeSeed(), calls: map[uint64]refusedCall{}}
}

func (r *refusalCache) key(c *call) uint64 {
	return maphash.Comparable(r.seed, [4]string{c.method, c.host, c.target, c.match.Account})
}

// add stores c, which is refused at now. Calls without a caller's deadline are
// not stored, since their retries can't be distinguished from other calls.
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

// takeArrival removes the refused call that c retries and returns its arrival.
// Apart from deadlineTolerance, the deadline of a retry is no later than that of
// the refused call.
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
