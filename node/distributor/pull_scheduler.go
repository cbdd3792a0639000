package distributor

import (
	"time"

	"sycamorerun"
)

const (
	// pullDelay is how long a node waits for a push after a Have.
	pullDelay = 300 * time.Millisecond
	// hedgeDelay is how long a pull may take before a hedged pull from another
	// peer starts.
	hedgeDelay = time.Second
	// maxPulls bounds the pulls in flight.
	maxPulls = 2
	// minPullRetry and maxPullRetry bound the delay after a failed pull.
	minPullRetry = 100 * time.Millisecond
	maxPullRetry = 10 * time.Second
	// maxIdleWait is the wait when nothing is due.
	maxIdleWait = time.Hour
)

// peerState is what this node knows about a peer's version and the pulls from it.
type peerState struct {
	version sycamorerun.Version
	// pullDue is when to pull from the peer while its version is above the held
	// one.
	pullDue time.Time
	// notBefore is the end of the delay after a failure or a busy reply.
	notBefore time.Time
	// aheadSince is when the peer's version was first known to be above the held
	// one.
	aheadSince time.Time
	// pullStarted is when the pull in flight started, or zero if there is none.
	pullStarted time.Time
	// requestedVersion is the peer's known version when that pull started.
	requestedVersion sycamorerun.Version
	failures         int
}

// pullScheduler decides when to pull and from which peer.
type pullScheduler struct {
	peers map[string]*peerState
}

func (s *pullScheduler) peer(name string) *peerState {
	if s.peers[name] == nil {
		s.peers[name] = &peerState{}
	}
	return s.peers[name]
}

// observe records the version of a peer and schedules a pull after delay if it is
// above held. The version may be lower than before if the peer has restarted.
func (s *pullScheduler) observe(now time.Time, name string, version, held sycamorerun.Version, delay time.Duration) {
	peer := s.peer(name)
	if version > held {
		due := now.Add(delay)
		if peer.version <= held {
			peer.aheadSince, peer.pullDue = now, due
		} else if due.Before(peer.pullDue) {
			peer.pullDue = due
		}
	}
	peer.version = version
}

// next returns the peer to pull from at now, or how long to wait. Peers for which
// remote returns true come last, since their replies cross regions.
func (s *pullScheduler) next(now time.Time, held sycamorerun.Version, remote func(string) bool) (string, time.Duration) {
	wait, pulls := maxIdleWait, 0
	for _, peer := range s.peers {
		if peer.pullStarted.IsZero() {
			continue
		}
		pulls++
		wait = min(wait, peer.pullStarted.Add(hedgeDelay).Sub(now))
	}
	if pulls >= maxPulls {
		return "", maxIdleWait
	}
	if pulls > 0 && wait > 0 {
		return "", wait
	}
	wait = maxIdleWait
	var best string
	for name, peer := range s.peers {
		if peer.version <= held || !peer.pullStarted.IsZero() {
			continue
		}
		if delay := max(peer.pullDue.Sub(now), peer.notBefore.Sub(now)); delay > 0 {
			wait = min(wait, delay)
			continue
		}
		if best == "" || s.preferred(name, best, remote) {
			best = name
		}
	}
	return best, wait
}

// preferred reports whether to pull from name rather than from other. It prefers
// peers within the region, then fewer failures, then the higher version, then the
// lower name so that the choice is deterministic.
func (s *pullScheduler) preferred(name, other string, remote func(string) bool) bool {
	a, b := s.peers[name], s.peers[other]
	if isRemote := remote(name); isRemote != remote(other) {
		return !isRemote
	}
	if a.failures != b.failures {
		return a.failures < b.failures
	}
	if a.version != b.version {
		return a.version > b.version
	}
	return name < other
}

func (s *pullScheduler) startPull(now time.Time, name string) {
	peer := s.peer(name)
	peer.pullStarted, peer.requestedVersion = now, peer.version
}

// finishPull records the reply to a pull: the peer's version, unless the peer has
// reported another one meanwhile, and the delay before the next pull.
func (s *pullScheduler) finishPull(now time.Time, name string, version sycamorerun.Version, retry time.Duration) {
	peer := s.peer(name)
	peer.pullStarted, peer.failures = time.Time{}, 0
	if peer.version == peer.requestedVersion {
		peer.version = version
	}
	peer.pullDue, peer.notBefore = now, now.Add(retry)
}

// failPull records a failed pull and delays the next one from the peer with full
// jitter.
func (s *pullScheduler) failPull(now time.Time, name string, random float64) {
	peer := s.peer(name)
	peer.pullStarted = time.Time{}
	peer.failures++
	peer.notBefore = now.Add(backoff(peer.failures, minPullRetry, maxPullRetry, random))
}

// retain removes the peers that are not in names and have no pull in flight.
func (s *pullScheduler) retain(names map[string]bool) {
	for name, peer := range s.peers {
		if !names[name] && peer.pullStarted.IsZero() {
			delete(s.peers, name)
		}
	}
}

// behindSince returns the earliest time since which a peer has been known to be
// ahead of held.
func (s *pullScheduler) behindSince(held sycamorerun.Version) (since time.Time, ok bool) {
	for _, peer := range s.peers {
		if peer.version > held && (!ok || peer.aheadSince.Before(since)) {
			since, ok = peer.aheadSince, true
		}
	}
	return since, ok
}
