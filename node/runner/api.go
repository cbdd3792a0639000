package runner

import (
	"time"

	"sycamorerun/node/announcer"
	"sycamorerun/node/manager"
)

// API is what additional listeners can use of a running node.
type API struct {
	// Announce and Leave take an announcement and the departure of the upstream
	// beside the node. When they return, no call starts at an upstream that is
	// draining or has left.
	Announce func(now time.Time, announcement manager.Announcement) announcer.Outcome
	Leave    func(now time.Time, id string) announcer.Outcome
	// Ready reports whether the node accepts work.
	Ready func() bool
}

func (n *node) api() API {
	return API{
		Announce: n.take,
		Leave:    n.depart,
		Ready:    func() bool { return n.phase.Load() == manager.PhaseReady },
	}
}
