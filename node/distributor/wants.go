package distributor

import (
	"time"

	"sycamorerun"
)

const (
	// pullDelay is how long a node waits for a push after a Have.
	pullDelay = 300 * time.Millisecond
	// hedgeDelay is how long a pull may take before another peer is asked too.
	hedgeDelay = time.Second
	// maxPulls bounds the pulls in flight.
	maxPulls = 2
	// pullRetryLeast and pullRetryMost bound the delay after a failed pull.
	pullRetryLeast = 100 * time.Millisecond
	pullRetryMost  = 10 * time.Second
	// idle is the longest wait when nothing is due.
	idle = time.Hour
)

// standing is what a node knows about a peer's version.
type standing struct {
	version sycamorerun.Version
	// due is when to pull from the peer while its version is above ours.
	due time.Time
	// notBefore is the end of the delay after a failure or a busy answer.
	notBefore time.Time
	// since is when the peer's version was first known to be above ours.
	since time.Time
	// pulling is when the pull in flight began, zero when there is none.
	pulling time.Time
	// asked is the peer's version when that pull began.
	asked    sycamorerun.Version
	failures int
}

// wants decides when to pull and from whom.
type wants struct {
	peers map[string]*standing
}

func (w *wants) peer(name string) *standing {
	if w.peers[name] == nil {
		w.peers[name] = &standing{}
	}
	return w.peers[name]
}

// heard records the version of a peer. It may be lower than before: the peer
// has restarted. The pull is due after delay.
func (w *wants) heard(now time.Time, name string, version, held sycamorerun.Version, delay time.Duration) {
	peer := w.peer(name)
	if version > held {
		due := now.Add(delay)
		if peer.version <= held {
			peer.since, peer.due = now, due
		} else if due.Before(peer.due) {
			peer.due = due
		}
	}
	peer.version = version
}

// next returns the peer to pull from at now, or how long to wait. Peers for
// which remote is true are asked last, since their bytes cross regions.
func (w *wants) next(now time.Time, held sycamorerun.Version, remote func(string) bool) (string, time.Duration) {
	wait, pulls := idle, 0
	for _, peer := range w.peers {
		if peer.pulling.IsZero() {
			continue
		}
		pulls++
		wait = min(wait, peer.pulling.Add(hedgeDelay).Sub(now))
	}
	if pulls >= maxPulls {
		return "", idle
	}
	if pulls > 0 && wait > 0 {
		return "", wait
	}
	wait = idle
	var best string
	for name, peer := range w.peers {
		if peer.version <= held || !peer.pulling.IsZero() {
			continue
		}
		if delay := max(peer.due.Sub(now), peer.notBefore.Sub(now)); delay > 0 {
			wait = min(wait, delay)
			continue
		}
		if best == "" || w.better(name, best, remote) {
			best = name
		}
	}
	return best, wait
}

// better prefers peers within the region, then peers without failures, then
// the higher version, then the name so that the choice is deterministic.
func (w *wants) better(name, other string, remote func(string) bool) bool {
	a, b := w.peers[name], w.peers[other]
	if far := remote(name); far != remote(other) {
		return !far
	}
	if a.failures != b.failures {
		return a.failures < b.failures
	}
	if a.version != b.version {
		return a.version > b.version
	}
	return name < other
}

func (w *wants) began(now time.Time, name string) {
	peer := w.peer(name)
	peer.pulling, peer.asked = now, peer.version
}

// ended records a pull's answer: the peer's version, unless the peer has
// reported another one since, and when to ask again if it has more.
func (w *wants) ended(now time.Time, name string, version sycamorerun.Version, retry time.Duration) {
	peer := w.peer(name)
	peer.pulling, peer.failures = time.Time{}, 0
	if peer.version == peer.asked {
		peer.version = version
	}
	peer.due, peer.notBefore = now, now.Add(retry)
}

// failed delays the next pull from the peer with full jitter.
func (w *wants) failed(now time.Time, name string, random float64) {
	peer := w.peer(name)
	peer.pulling = time.Time{}
	peer.failures++
	peer.notBefore = now.Add(backoff(peer.failures, pullRetryLeast, pullRetryMost, random))
}

// keep forgets the peers that are not in names and have no pull in flight.
func (w *wants) keep(names map[string]bool) {
	for name, peer := range w.peers {
		if !names[name] && peer.pulling.IsZero() {
			delete(w.peers, name)
		}
	}
}

// behind returns since when a peer has been known to be ahead of held.
func (w *wants) behind(held sycamorerun.Version) (since time.Time, ok bool) {
	for _, peer := range w.peers {
		if peer.version > held && (!ok || peer.since.Before(since)) {
			since, ok = peer.since, true
		}
	}
	return since, ok
}
