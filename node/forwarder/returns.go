package forwarder

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// returnsMax bounds the refused calls that are remembered.
	returnsMax = 4096
	// returnSlack is how much longer than before a caller may say that it waits
	// when it comes back: it rounds, and its clock is not this node's.
	returnSlack = 100 * time.Millisecond
)

// returns remembers calls that were refused, by method, host and target. Callers
// come back to the node that refused them, with a new id; a call that comes back
// counts from its first arrival, since its caller's objective does.
type returns struct {
	seed    maphash.Seed
	mutex   sync.Mutex
	refused map[uint64]refused
}

// refused is a call that was refused. Its caller gives up at until.
type refused struct {
	arrived time.Time
	until   time.Time
}

func newReturns() *returns {
	return &returns{seed: maphash.MakeSeed(), refused: map[uint64]refused{}}
}

func (r *returns) key(c *call) uint64 {
	return maphash.Comparable(r.seed, [3]string{c.method, c.host, c.target})
}

// add remembers c, which is refused at now. Calls whose callers don't say how long
// they wait are left out: nothing would tell their return from another call.
func (r *returns) add(now time.Time, c *call) {
	if !now.Before(c.until) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.refused) >= returnsMax {
		for key, old := range r.refused {
			if !now.Before(old.until) {
				delete(r.refused, key)
			}
		}
		if len(r.refused) >= returnsMax {
			return
		}
	}
	r.refused[r.key(c)] = refused{arrived: c.arrived, until: c.until}
}

// first returns when c arrived first, if it is a call that comes back: the caller
// gives up no later than that of the refused one.
func (r *returns) first(now time.Time, c *call) (time.Time, bool) {
	if c.until.IsZero() {
		return time.Time{}, false
	}
	key := r.key(c)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old, ok := r.refused[key]
	if !ok || !now.Before(old.until) || c.until.After(old.until.Add(returnSlack)) {
		return time.Time{}, false
	}
	delete(r.refused, key)
	return old.arrived, true
}
