package forwarder

import (
	"math"
	"sync/atomic"
	"time"
)

// maxSlowdownAge is the age up to which a slowdown is passed on. It changes many
// times a second.
const maxSlowdownAge = 500 * time.Millisecond

// maxSlowdown bounds what an upstream may state.
const maxSlowdown = 20

// slowdown is the last one that the upstream beside this node told.
type slowdown struct {
	percent uint32
	at      time.Time
}

// slowdownRecord holds the last slowdown.
type slowdownRecord struct{ last atomic.Pointer[slowdown] }

// recordSlowdown keeps the slowdown that a response of the upstream states. Values
// that are no positive number are ignored, and large ones are bounded.
func (f *Forwarder) recordSlowdown(now time.Time, load string) {
	if f.Contract.ParseSlowdown == nil || load == "" {
		return
	}
	value, ok := f.Contract.ParseSlowdown(load)
	if !ok || math.IsNaN(value) || value <= 0 {
		return
	}
	f.slowdown.last.Store(&slowdown{percent: uint32(max(1, min(value, maxSlowdown)*100)), at: now})
}

// AddSlowdown sets the slowdown of load if the upstream has told it a short time ago.
func (f *Forwarder) AddSlowdown(now time.Time, load *Load) {
	last := f.slowdown.last.Load()
	if last == nil {
		return
	}
	if age := max(0, now.Sub(last.at)); age < maxSlowdownAge {
		load.Slowdown, load.SlowdownAgeMs = last.percent, uint32(age.Milliseconds())
	}
}
