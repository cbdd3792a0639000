package runner

import (
	"time"

	"sycamorerun/node/announcer"
	"sycamorerun/node/manager"
)

// API gives the handlers of additional listen addresses access to a running node.
type API struct {
	// Announce and Leave process an announcement and the departure of the upstream
	// beside the node. After they return, no call starts at an upstream that is
	// draining or has left. They return announcer.Unsaved if the next process of this
	// node would not know that, so that the departure must not be confirmed.
	Announce func(now time.Time, announcement manager.Announcement) announcer.Outcome
	Leave    func(now time.Time, id string) announcer.Outcome
	// Reject records an announcement that a handler can't decode.
	Reject func(now time.Time, id string, reason error)
	// Ready reports whether the node accepts calls.
	Ready func() bool
}

func (n *node) api() API {
	return API{
		Announce: n.processAnnouncement,
		Leave:    n.processDeparture,
		Reject:   n.rejectAnnouncement,
		Ready:    func() bool { return n.phase.Load() == manager.PhaseReady },
	}
}
