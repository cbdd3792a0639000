package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/announcer"
	"sycamorerun/node/limiter"
	"sycamorerun/node/manager"
)

const (
	// defaultUpstreamID is the id of an upstream that announces itself without one.
	defaultUpstreamID = "upstream"
	// refreshInterval is the time between checks of the upstream's announcements.
	// It adds to the time after which an upstream that stopped announcing itself
	// becomes unavailable.
	refreshInterval = 100 * time.Millisecond
	// saveTimeout bounds storing a departure before it is confirmed. The upstream
	// waits for the confirmation for a second.
	saveTimeout = 800 * time.Millisecond
	// flushTimeout bounds sending a departure to the peers before it is confirmed. It
	// exceeds the time for which records wait for others.
	flushTimeout = 100 * time.Millisecond
	// rejectionLogInterval is the minimum time between two log lines about rejected
	// announcements, whose sender may repeat them every second.
	rejectionLogInterval = time.Minute
	// maxLoggedBytes bounds the texts from a rejected announcement in a log line.
	maxLoggedBytes = 128
)

// rejections counts the rejected announcements since the last log line about them.
type rejections struct {
	mutex  sync.Mutex
	logged time.Time
	count  int
}

// announce processes an announcement from the operators' API. Since these have no
// ids, a new upstream of another service can't be distinguished from a misconfigured
// one and is refused.
func (n *node) announce(announcement manager.Announcement) error {
	if announcement.ID == "" {
		if current, ok := n.calls.upstream.lastAnnouncement(); ok && current.Service != announcement.Service {
			return errors.Errorf("this node serves %s already", current.Service)
		}
		announcement.ID = defaultUpstreamID
	}
	if n.processAnnouncement(time.Now(), announcement) == announcer.Invalid {
		return n.calls.upstream.announcer.Check(announcer.Announcement(announcement))
	}
	return nil
}

// processAnnouncement applies an announcement of the local upstream. After it
// returns, no call starts at an upstream that is draining or has left.
func (n *node) processAnnouncement(now time.Time, announcement manager.Announcement) announcer.Outcome {
	outcome := n.calls.upstream.announcer.Announce(now, announcer.Announcement(announcement))
	if outcome == announcer.Accepted {
		if own, ok := n.fleet.member(n.settings.Name); ok && !own.Serving() {
			n.publisher.markUnavailable(now)
		}
	}
	n.refreshUpstream(now)
	if outcome == announcer.Invalid {
		n.rejectAnnouncement(now, announcement.ID, n.calls.upstream.announcer.Check(announcer.Announcement(announcement)))
		return outcome
	}
	if announcement.State == sycamorerun.StateDraining || announcement.State == sycamorerun.StateLeft {
		outcome = n.saveDeparture(outcome)
	}
	n.logAnnouncement(announcement.ID, announcement.State, outcome)
	return outcome
}

// saveDeparture stores a departure that was processed with the given outcome. It
// returns Unsaved if that fails: a departure that is confirmed binds the next process
// of this node as well.
func (n *node) saveDeparture(outcome announcer.Outcome) announcer.Outcome {
	if n.recorder == nil || outcome == announcer.Invalid {
		return outcome
	}
	// The peers tell the next process while the store can't be reached.
	n.publishDepartures(time.Now())
	flushCtx, endFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer endFlush()
	saveCtx, endSave := context.WithTimeout(context.Background(), saveTimeout)
	defer endSave()
	if err := n.recorder.Save(saveCtx); err != nil {
		level.Warn(n.logger).Log("msg", "departure not confirmed, since it can't be stored", "err", err)
		return announcer.Unsaved
	}
	n.tracker.Flush(flushCtx)
	return outcome
}

func (n *node) publishDepartures(now time.Time) {
	n.tracker.SetDepartures(now, n.calls.upstream.announcer.Departures(now))
}

// restoreDepartures applies the departures that the store holds, which are all that
// earlier processes of this node confirmed.
func (n *node) restoreDepartures(now time.Time, departures []sycamorerun.Departure) {
	n.calls.upstream.announcer.Learn(now, departures)
	n.releaseAnnouncements("store")
	n.publishDepartures(now)
}

// learnDepartures applies the departures that a peer knows. It may lack the last one,
// so that the store's answer is waited for unless the store can't be reached.
func (n *node) learnDepartures(now time.Time, departures []sycamorerun.Departure) {
	n.calls.upstream.announcer.Learn(now, departures)
	n.departuresLearned.Store(true)
	if n.storeFailed.Load() {
		n.releaseAnnouncements("peer")
	}
	n.publishDepartures(now)
}

// useLearnedDepartures is called when the store can't be read.
func (n *node) useLearnedDepartures() {
	n.storeFailed.Store(true)
	if n.departuresLearned.Load() {
		n.releaseAnnouncements("peer")
	}
}

func (n *node) releaseAnnouncements(source string) {
	n.calls.upstream.announcer.Release()
	_ = level.Debug(n.logger).Log("msg", "departures of earlier processes known", "source", source)
	n.refreshUpstream(time.Now())
}

// rejectAnnouncement counts a rejected announcement and logs it, unless one was
// logged within rejectionLogInterval.
func (n *node) rejectAnnouncement(now time.Time, id string, reason error) {
	n.scope.Counter("announcements_rejected").Inc(1)
	n.rejections.mutex.Lock()
	defer n.rejections.mutex.Unlock()
	n.rejections.count++
	if !n.rejections.logged.IsZero() && now.Sub(n.rejections.logged) < rejectionLogInterval {
		return
	}
	text := reason.Error()
	level.Warn(n.logger).Log("msg", "announcement rejected", "upstream", id[:min(len(id), maxLoggedBytes)],
		"err", text[:min(len(text), maxLoggedBytes)], "rejected", n.rejections.count)
	n.rejections.logged, n.rejections.count = now, 0
}

// processDeparture applies the departure of the local upstream. After it returns, no
// call starts there.
func (n *node) processDeparture(now time.Time, id string) announcer.Outcome {
	outcome := n.calls.upstream.announcer.Leave(now, id)
	n.refreshUpstream(now)
	outcome = n.saveDeparture(outcome)
	n.logAnnouncement(id, sycamorerun.StateLeft, outcome)
	return outcome
}

func (n *node) logAnnouncement(id string, state sycamorerun.State, outcome announcer.Outcome) {
	_ = level.Debug(n.logger).Log("msg", "announcement processed", "upstream", id, "state", state, "outcome", outcome)
}

// watchUpstream periodically expires the upstream's announcements and refreshes the
// upstream until ctx ends.
func (n *node) watchUpstream(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			// After a pause of this process, received announcements may still be
			// unread, so nothing expires.
			if now.Sub(last) < announcer.MinPause {
				n.calls.upstream.announcer.Expire(now)
			}
			last = now
			n.refreshUpstream(now)
		}
	}
}

// refreshUpstream applies the current state of the upstream: it starts or stops
// admitting calls, sets the limits and publishes the advertisement to the members.
func (n *node) refreshUpstream(now time.Time) {
	n.refreshMutex.Lock()
	defer n.refreshMutex.Unlock()
	if !n.lastRefresh.IsZero() && now.Sub(n.lastRefresh) >= unavailableThreshold {
		// This process was paused. Other members may have executed calls with its
		// keys meanwhile.
		n.publisher.markUnavailable(now)
	}
	n.lastRefresh = now
	upstream, ok := n.calls.upstream.announcer.Current()
	next := advertisement{upstream.Service, upstream.State, upstream.Slots, upstream.Release}
	if !ok {
		// The node remains a member without an upstream.
		next.state = sycamorerun.StateNone
	}
	if next.serving() {
		next.slots = n.updateLimits(manager.Announcement(upstream))
	} else {
		// A call that is queued concurrently with this Drain is refused by the
		// next refresh.
		n.calls.upstream.close()
		n.calls.limiter.Drain(limiter.Draining)
	}
	if upstream.Service == "" {
		return
	}
	// The record has the slots that the limiter uses. A larger number would only
	// attract calls that are then refused.
	next.state = n.advertisedState(next.state)
	if next != n.advertised {
		level.Info(n.logger).Log("msg", "upstream advertisement changed", "upstream", upstream.ID, "service", next.service, "state", next.state, "slots", next.slots, "release", next.release)
		n.advertised = next
	}
	n.publisher.setDesired(next)
}

// advertisedState returns the state to publish for an upstream in the given state.
// While the node drains, a serving upstream is published as draining. Until the node
// has the newest version, a serving upstream is published as none.
func (n *node) advertisedState(state sycamorerun.State) sycamorerun.State {
	serving := advertisement{state: state}.serving()
	switch phase := n.phase.Load(); {
	case serving && phase == manager.PhaseStarting:
		return sycamorerun.StateNone
	case serving && (phase == manager.PhaseDraining || phase == manager.PhaseStopped):
		return sycamorerun.StateDraining
	}
	return state
}

// updateLimits applies the limits of the announced upstream's service and returns
// the number of slots. If the upstream replaces one of another service, the calls
// that wait for the replaced upstream are refused.
func (n *node) updateLimits(announcement manager.Announcement) int {
	service, known := n.applier.Current().Table.Service(announcement.Service)
	limits, replaced := n.calls.upstream.update(announcement, service, known)
	if replaced {
		n.calls.limiter.Drain(limiter.Draining)
		n.publisher.reset()
	}
	n.calls.limiter.Resize(limits)
	return limits.Slots
}
