package runner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/announcer"
	"sycamorerun/node/limiter"
	"sycamorerun/node/manager"
)

const (
	// unnamed is the id of an upstream that announces none.
	unnamed = "upstream"
	// presentInterval is the time between checks of the upstream's
	// announcements. It adds to the time after which a silent upstream lapses.
	presentInterval = 100 * time.Millisecond
	// pauseLeast is the time between two checks from which the process counts
	// as paused. A busy machine delays a check by some 100 ms.
	pauseLeast = time.Second
)

// announce takes an announcement from the operators' API, which has no ids: an
// upstream with another service can't be told from one that was misconfigured.
func (n *node) announce(announcement manager.Announcement) error {
	if announcement.ID == "" {
		if current, ok := n.calls.upstream.service(); ok && current.Service != announcement.Service {
			return errors.Errorf("this node serves %s already", current.Service)
		}
		announcement.ID = unnamed
	}
	if n.take(time.Now(), announcement) == announcer.Invalid {
		return errors.New("the announcement names no upstream that can be used")
	}
	return nil
}

// take takes an announcement. When it returns, no call starts at an upstream
// that is draining or has left.
func (n *node) take(now time.Time, announcement manager.Announcement) announcer.Outcome {
	outcome := n.calls.upstream.announcer.Announce(now, announcer.Announcement(announcement))
	if outcome == announcer.Accepted {
		if own, ok := n.fleet.member(n.settings.Name); ok && !own.Serving() {
			n.publisher.lapse(now)
		}
	}
	n.present(now)
	n.taken(announcement.ID, announcement.State, outcome)
	return outcome
}

// depart takes the departure of the upstream. When it returns, no call starts
// there.
func (n *node) depart(now time.Time, id string) announcer.Outcome {
	outcome := n.calls.upstream.announcer.Leave(now, id)
	n.present(now)
	n.taken(id, sycamorerun.StateLeft, outcome)
	return outcome
}

func (n *node) taken(id string, state sycamorerun.State, outcome announcer.Outcome) {
	_ = level.Debug(n.logger).Log("msg", "announcement taken", "upstream", id, "state", state, "outcome", outcome)
}

// watchUpstream applies the passing of time to the upstream's announcements.
func (n *node) watchUpstream(ctx context.Context) error {
	ticker := time.NewTicker(presentInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			// After a pause of this process, announcements wait to be read.
			if now.Sub(last) < pauseLeast {
				n.calls.upstream.announcer.Expire(now)
			}
			last = now
			n.present(now)
		}
	}
}

// present puts the upstream in use in force: it opens or closes the entrance,
// sets the limits and tells the members.
func (n *node) present(now time.Time) {
	n.presenting.Lock()
	defer n.presenting.Unlock()
	if !n.presented.IsZero() && now.Sub(n.presented) >= lapseDelay {
		// This process was paused, and others may have executed its keys.
		n.publisher.lapse(now)
	}
	n.presented = now
	upstream, ok := n.calls.upstream.announcer.Current()
	shown := presence{upstream.Service, upstream.State, upstream.Slots}
	if !ok {
		// The node stays a member; only its upstream is gone.
		shown.state = sycamorerun.StateNone
	}
	if shown.serving() {
		shown.slots = n.resize(manager.Announcement(upstream))
	} else {
		// Calls that entered the queue beside the last refusal are refused by
		// the next check.
		n.calls.upstream.close()
		n.calls.limiter.Drain(limiter.Draining)
	}
	if upstream.Service == "" {
		return
	}
	// The record has the slots that the limiter uses. More of them than the
	// service allows would only attract calls that are refused.
	shown.state = n.visible(shown.state)
	if shown != n.shown {
		level.Info(n.logger).Log("msg", "upstream announced", "upstream", upstream.ID, "service", shown.service, "state", shown.state, "slots", shown.slots)
		n.shown = shown
	}
	n.publisher.want(shown)
}

// visible returns the state that the members are told. While the node drains,
// its upstream counts as draining whatever it says, and a node without the
// newest version takes no calls for its upstream.
func (n *node) visible(state sycamorerun.State) sycamorerun.State {
	serving := presence{state: state}.serving()
	switch phase := n.phase.Load(); {
	case serving && phase == manager.PhaseStarting:
		return sycamorerun.StateNone
	case serving && (phase == manager.PhaseDraining || phase == manager.PhaseStopped):
		return sycamorerun.StateDraining
	}
	return state
}

// resize takes the limits of the announced upstream's service and returns the
// slots. Calls that wait for an upstream of another service are refused.
func (n *node) resize(announcement manager.Announcement) int {
	service, known := n.applier.Current().Table.Service(announcement.Service)
	limits, replaced := n.calls.upstream.update(announcement, service, known)
	if replaced {
		n.calls.limiter.Drain(limiter.Draining)
		n.publisher.reset()
	}
	n.calls.limiter.Resize(limits)
	return limits.Slots
}
