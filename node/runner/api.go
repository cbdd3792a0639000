package runner

import (
	"net/http"

	"sycamorerun/node/manager"
)

// API is what further handlers of a node may call.
type API struct {
	// Announce takes what the upstream beside the node says of itself.
	Announce func(manager.Announcement) error
	// Ready reports whether the node takes calls.
	Ready   func() bool
	Metrics http.Handler
}

func (n *node) api() API {
	return API{
		Announce: n.announce,
		Ready:    func() bool { return n.phase.Load() == manager.PhaseReady },
		Metrics:  n.metrics,
	}
}
