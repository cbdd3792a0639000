package requester

import (
	"context"
	"fmt"

	"sycamorerun/api/gen/fleet"
)

// Convergence returns the versions in force on the fleet's nodes.
func (r *Requester) Convergence(ctx context.Context) (*fleet.ConvergenceResult, error) {
	return Read(ctx, r, func(ctx context.Context, node *Node) (*fleet.ConvergenceResult, error) {
		return node.Fleet.Convergence(ctx, &fleet.ConvergencePayload{Token: r.Authorization()})
	})
}

// Wait polls the fleet until every node has at least version. It passes each
// result to progress. When ctx ends first, it fails with NotConverged, or with
// Unreachable if no node has responded.
func (r *Requester) Wait(ctx context.Context, version uint64, progress func(*fleet.ConvergenceResult)) (*fleet.ConvergenceResult, error) {
	var lastResult *fleet.ConvergenceResult
	for {
		result, err := r.Convergence(ctx)
		failure := AsFailure(err)
		switch {
		case err == nil:
			lastResult = result
			progress(result)
			if NodesWithVersion(result, version) == result.Nodes && result.Nodes > 0 && result.Silent == 0 {
				return result, nil
			}
		case failure == nil || failure.Kind != Unreachable:
			return lastResult, err
		}
		if !sleep(ctx, r.PollInterval) {
			return lastResult, newNotConverged(version, lastResult, failure)
		}
	}
}

// newNotConverged returns the failure for a wait that timed out. When no node
// ever responded, it is the failure of the last query.
func newNotConverged(version uint64, lastResult *fleet.ConvergenceResult, lastFailure *Failure) *Failure {
	if lastResult == nil {
		return lastFailure
	}
	return &Failure{Kind: NotConverged, Reason: fmt.Sprintf("version %d is not in force everywhere: %d of %d nodes have it, %d are silent",
		version, NodesWithVersion(lastResult, version), lastResult.Nodes, lastResult.Silent)}
}

// NodesWithVersion returns the number of nodes that have at least version.
func NodesWithVersion(result *fleet.ConvergenceResult, version uint64) int {
	nodes := 0
	for _, tally := range result.Tallies {
		if tally.Version >= version {
			nodes += tally.Nodes
		}
	}
	return nodes
}
