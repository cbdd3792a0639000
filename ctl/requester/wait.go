package requester

import (
	"context"
	"fmt"

	"sycamorerun/api/gen/fleet"
)

// Convergence asks the fleet which versions are in force.
func (r *Requester) Convergence(ctx context.Context) (*fleet.ConvergenceResult, error) {
	return Read(ctx, r, func(ctx context.Context, node *Node) (*fleet.ConvergenceResult, error) {
		return node.Fleet.Convergence(ctx, &fleet.ConvergencePayload{Token: r.Authorization()})
	})
}

// Wait asks until every node has at least version. It reports each answer to
// progress, and fails with Late when ctx ends first.
func (r *Requester) Wait(ctx context.Context, version uint64, progress func(*fleet.ConvergenceResult)) (*fleet.ConvergenceResult, error) {
	var last *fleet.ConvergenceResult
	for {
		found, err := r.Convergence(ctx)
		failure := AsFailure(err)
		switch {
		case err == nil:
			last = found
			progress(found)
			if Reached(found, version) == found.Nodes && found.Nodes > 0 && found.Silent == 0 {
				return found, nil
			}
		case failure == nil || failure.Kind != Unreachable:
			return last, err
		}
		if !sleep(ctx, r.Interval) {
			return last, late(version, last, failure)
		}
	}
}

// late returns the failure to reach any node when that is all there was.
func late(version uint64, last *fleet.ConvergenceResult, failure *Failure) *Failure {
	if last == nil {
		return failure
	}
	return &Failure{Kind: Late, Reason: fmt.Sprintf("version %d is not in force everywhere: %d of %d nodes have it, %d are silent",
		version, Reached(last, version), last.Nodes, last.Silent)}
}

// Reached counts the nodes that have at least version.
func Reached(found *fleet.ConvergenceResult, version uint64) int {
	nodes := 0
	for _, tally := range found.Tallies {
		if tally.Version >= version {
			nodes += tally.Nodes
		}
	}
	return nodes
}
