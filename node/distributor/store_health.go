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
	maxStoreFailures = 2
	// silentWatch is the time from which on a watch that failed shows a store
	// that is silent towards this node. A second call would take as long again,
	// and a version must be in force before.
	silentWatchThreshold = time.Second
	// workingFor is how long a call that succeeded shows that the node reaches
	// the store: the wait of a watch and a second for its answer.
	storeSuccessValidity = documentWatchWait + time.Second
	// retryLeast and retryMost bound the pause between the calls of a node that
	// is cut off and has no role. Each retryMembers members stretch it once
	// more, which bounds the calls of a large fleet at a store that is down.
	minStoreProbeDelay = time.Second
	maxStoreProbeDelay = 2 * time.Second
	storeProbeMembers  = 32
)

// reach is what a node knows of its own calls of the store.
type storeHealth struct {
	mutex sync.Mutex
	// lowest is the lowest latency of a read, zero before the first one.
	minLatency time.Duration
	// worked is when a call succeeded last.
	lastSuccess time.Time
	failures    int
	// due is when a node without a role tries again.
	nextProbe         time.Time
	publishedDistance int
	watchRevision     persister.Revision
}

func (h *storeHealth) revision() persister.Revision {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.watchRevision
}

func (h *storeHealth) setRevision(revision persister.Revision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.watchRevision = revision
}

// silent records that the store was silent for so long that the next failure
// counts as the last one needed.
func (h *storeHealth) recordSilence() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = max(h.failures, maxStoreFailures-1)
}

// failed returns the number of calls that failed in a row.
func (h *storeHealth) consecutiveFailures() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failures
}

// wait returns how long a node without a role waits before it tries again.
func (h *storeHealth) probeDelay(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.failures < maxStoreFailures {
		return maxIdleWait
	}
	return max(0, h.nextProbe.Sub(now))
}

// distance returns what to publish.
func (h *storeHealth) distance() int {
	switch {
	case h.failures >= maxStoreFailures:
		return sycamorerun.Unreachable
	case h.minLatency == 0:
		return 0
	}
	return latencyBucket(h.minLatency)
}

// bucket groups latencies by powers of two of milliseconds, so that small
// changes of the latency move no watcher.
func latencyBucket(latency time.Duration) int {
	return bits.Len64(uint64(latency/time.Millisecond) + 1)
}

// answered records a call that the store answered. Latency is zero when the
// call waited at the store.
func (d *Distributor) recordStoreSuccess(now time.Time, latency time.Duration) {
	h := &d.storeHealth
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastSuccess, h.failures = now, 0
	if latency > 0 && (h.minLatency == 0 || latency < h.minLatency) {
		h.minLatency = latency
	}
	d.publishDistance(now)
}

// unanswered records a call that failed.
func (d *Distributor) recordStoreFailure(now time.Time) {
	d.count("distributor_store_failures", 1)
	factor := 1 + len(d.Peers())/storeProbeMembers
	pause := minStoreProbeDelay + time.Duration(d.Random()*float64(maxStoreProbeDelay-minStoreProbeDelay))
	h := &d.storeHealth
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures++
	h.nextProbe = now.Add(time.Duration(factor) * pause)
	d.publishDistance(now)
}

// publish tells the members the distance; the caller holds the mutex of reach.
func (d *Distributor) publishDistance(now time.Time) {
	if distance := d.storeHealth.distance(); distance != d.storeHealth.publishedDistance {
		d.storeHealth.publishedDistance = distance
		d.PublishDistance(now, distance)
	}
}

// watching reports whether this node follows the document and reaches the store.
func (d *Distributor) watching(now time.Time) bool {
	if d.Document == nil || d.watchRole(d.Plan()) != planner.Primary {
		return false
	}
	d.storeHealth.mutex.Lock()
	defer d.storeHealth.mutex.Unlock()
	return d.storeHealth.failures < maxStoreFailures && !d.storeHealth.lastSuccess.IsZero() && now.Sub(d.storeHealth.lastSuccess) < storeSuccessValidity
}
