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
	// maxStoreFailures is the number of consecutive failed calls after which a
	// node counts as cut off from the store.
	maxStoreFailures = 2
	// silentWatchThreshold is the shortest duration of a failed watch that marks the
	// store as silent towards this node. A second call of that length would
	// delay a version beyond the time by which it must be in force.
	silentWatchThreshold = time.Second
	// storeSuccessValidity is how long after a successful call the node counts as
	// reaching the store: the wait of a watch and 1 s for its response.
	storeSuccessValidity = documentWatchWait + time.Second
	// minStoreProbeDelay and maxStoreProbeDelay bound the delay between the store
	// probes of a node that is cut off and has no role. The delay is extended by
	// the same amount for every storeProbeMembers members, which bounds the calls
	// of a large fleet to a store that is down.
	minStoreProbeDelay = time.Second
	maxStoreProbeDelay = 2 * time.Second
	storeProbeMembers  = 32
)

// storeHealth tracks the results of the node's own store calls.
type storeHealth struct {
	mutex sync.Mutex
	// minLatency is the lowest latency of a read, or zero before the first one.
	minLatency time.Duration
	// lastSuccess is when a call last succeeded.
	lastSuccess time.Time
	failures    int
	// nextProbe is when a node without a role probes the store again.
	nextProbe         time.Time
	publishedDistance int
	// watchPosition is the position to watch from. Its revision is zero if the
	// document must be read first.
	watchPosition persister.Position
}

func (h *storeHealth) position() persister.Position {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.watchPosition
}

func (h *storeHealth) setPosition(position persister.Position) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.watchPosition = position
}

// recordSilence records that the store was silent for so long that the next
// failure marks the node as cut off.
func (h *storeHealth) recordSilence() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = max(h.failures, maxStoreFailures-1)
}

// consecutiveFailures returns the number of calls that failed since the last
// success.
func (h *storeHealth) consecutiveFailures() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failures
}

// probeDelay returns how long a node without a role waits before its next store
// probe.
func (h *storeHealth) probeDelay(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.failures < maxStoreFailures {
		return maxIdleWait
	}
	return max(0, h.nextProbe.Sub(now))
}

// distance returns the distance to publish: Unreachable for a node that is cut
// off, 0 before the first read, and otherwise a latency bucket. The caller holds
// the mutex.
func (h *storeHealth) distance() int {
	switch {
	case h.failures >= maxStoreFailures:
		return sycamorerun.Unreachable
	case h.minLatency == 0:
		return 0
	}
	return latencyBucket(h.minLatency)
}

// latencyBucket groups latencies by powers of two of milliseconds, so that small
// changes of the latency do not change the choice of watchers.
func latencyBucket(latency time.Duration) int {
	return bits.Len64(uint64(latency/time.Millisecond) + 1)
}

// recordStoreSuccess records a call to which the store responded. Latency is zero
// for a call that waited in the store.
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

// recordStoreFailure records a failed call.
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

// publishDistance publishes the distance if it has changed. The caller holds the
// mutex of d.storeHealth.
func (d *Distributor) publishDistance(now time.Time) {
	if distance := d.storeHealth.distance(); distance != d.storeHealth.publishedDistance {
		d.storeHealth.publishedDistance = distance
		d.PublishDistance(now, distance)
	}
}

// watching reports whether this node watches the document and reaches the store.
func (d *Distributor) watching(now time.Time) bool {
	if d.Document == nil || d.watchRole(d.Plan()) != planner.Primary {
		return false
	}
	d.storeHealth.mutex.Lock()
	defer d.storeHealth.mutex.Unlock()
	return d.storeHealth.failures < maxStoreFailures && !d.storeHealth.lastSuccess.IsZero() && now.Sub(d.storeHealth.lastSuccess) < storeSuccessValidity
}
