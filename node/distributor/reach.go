package distributor

import (
	"math/bits"
	"sync"
	"time"

	"sycamorerun"
	"sycamorerun/node/planner"
	"sycamorerun/persister"
)

const (
	// failuresMost is the number of failed calls in a row after which a node
	// counts as cut off from the store.
	failuresMost = 2
	// silentWatch is the time from which on a watch that failed shows a store
	// that is silent towards this node. A second call would take as long again,
	// and a version must be in force before.
	silentWatch = time.Second
	// workingFor is how long a call that succeeded shows that the node reaches
	// the store: the wait of a watch and a second for its answer.
	workingFor = documentWait + time.Second
	// retryLeast and retryMost bound the pause between the calls of a node that
	// is cut off and has no role. Each retryMembers members stretch it once
	// more, which bounds the calls of a large fleet at a store that is down.
	retryLeast   = time.Second
	retryMost    = 2 * time.Second
	retryMembers = 32
)

// reach is what a node knows of its own calls of the store.
type reach struct {
	mutex sync.Mutex
	// lowest is the lowest latency of a read, zero before the first one.
	lowest time.Duration
	// worked is when a call succeeded last.
	worked   time.Time
	failures int
	// due is when a node without a role tries again.
	due       time.Time
	published int
	after     persister.Revision
}

func (r *reach) revision() persister.Revision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.after
}

func (r *reach) follow(revision persister.Revision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.after = revision
}

// silent records that the store was silent for so long that the next failure
// counts as the last one needed.
func (r *reach) silent() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = max(r.failures, failuresMost-1)
}

// failed returns the number of calls that failed in a row.
func (r *reach) failed() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failures
}

// wait returns how long a node without a role waits before it tries again.
func (r *reach) wait(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failures < failuresMost {
		return idle
	}
	return max(0, r.due.Sub(now))
}

// distance returns what to publish.
func (r *reach) distance() int {
	switch {
	case r.failures >= failuresMost:
		return sycamorerun.Unreachable
	case r.lowest == 0:
		return 0
	}
	return bucket(r.lowest)
}

// bucket groups latencies by powers of two of milliseconds, so that small
// changes of the latency move no watcher.
func bucket(latency time.Duration) int {
	return bits.Len64(uint64(latency/time.Millisecond) + 1)
}

// answered records a call that the store answered. Latency is zero when the
// call waited at the store.
func (d *Distributor) answered(now time.Time, latency time.Duration) {
	r := &d.reach
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.worked, r.failures = now, 0
	if latency > 0 && (r.lowest == 0 || latency < r.lowest) {
		r.lowest = latency
	}
	d.publish(now)
}

// unanswered records a call that failed.
func (d *Distributor) unanswered(now time.Time) {
	d.count("distributor_store_failures", 1)
	stretch := 1 + len(d.Peers())/retryMembers
	pause := retryLeast + time.Duration(d.Random()*float64(retryMost-retryLeast))
	r := &d.reach
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures++
	r.due = now.Add(time.Duration(stretch) * pause)
	d.publish(now)
}

// publish tells the members the distance; the caller holds the mutex of reach.
func (d *Distributor) publish(now time.Time) {
	if distance := d.reach.distance(); distance != d.reach.published {
		d.reach.published = distance
		d.PublishDistance(now, distance)
	}
}

// watching reports whether this node follows the document and reaches the store.
func (d *Distributor) watching(now time.Time) bool {
	if d.Document == nil || d.watchRole(d.Plan()) != planner.Primary {
		return false
	}
	d.reach.mutex.Lock()
	defer d.reach.mutex.Unlock()
	return d.reach.failures < failuresMost && !d.reach.worked.IsZero() && now.Sub(d.reach.worked) < workingFor
}
