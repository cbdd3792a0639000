// Package releaser tries a new release of a service on a bounded share of the
// calls, judges it by their outcomes, and then moves all calls to it or none.
//
// Each node has a Gate, which bounds the calls that the node sends to the new
// release. One node, the decider, runs a Decider, which weighs the outcomes that
// the nodes report and tells them which share of their calls to send.
package releaser

import (
	"context"
	"time"

	"sycamorerun"
	"sycamorerun/persister"
)

// Order is an operator's order to try a release of a service.
type Order struct {
	sycamorerun.Rollout
	// Name is the name of the stored order.
	Name    string
	Service string
	// ID identifies the order; one that replaces it has another.
	ID uint64
	// Revision is the revision of the stored order, for conditional updates.
	Revision persister.Revision
	// State is the state that is stored for this order, or empty.
	State sycamorerun.RolloutState
	// Fault says why the order can't be carried out; it is empty if it can.
	Fault string
}

// ended reports whether the order has an outcome, which is final.
func (o Order) ended() bool {
	return o.State == sycamorerun.RolloutCompleted || o.State == sycamorerun.RolloutRolledBack
}

// Orders gives access to the orders that operators write.
type Orders struct {
	// List returns all orders and the revision from which to watch.
	List func(ctx context.Context) ([]Order, persister.Revision, error)
	// Watch waits some seconds for a change of an order after a revision, and
	// returns the revision for the next call.
	Watch func(ctx context.Context, after persister.Revision) (changed bool, next persister.Revision, err error)
	// SetState stores the state of an order. It returns persister.ErrConflict
	// unless the order has the given revision.
	SetState func(ctx context.Context, order Order, state sycamorerun.RolloutState) error
}

// decision is what a node is told about one service.
type decision struct {
	service string
	order   uint64
	target  string
	state   sycamorerun.RolloutState
	// share is the share of a node's calls that may go to the target.
	share float64
	// instances are the upstreams of the target that get calls, unless all do.
	instances []string
	all       bool
	// releases lists the releases that get calls without a bound.
	releases []string
}

const (
	// decisionLifetime is how long a node acts on a decision. After it, the node
	// sends no calls to the release that is tried.
	decisionLifetime = 2500 * time.Millisecond
	// reportPeriod is the time between two reports of a node.
	reportPeriod = time.Second
)
