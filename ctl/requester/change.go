package requester

import (
	"context"
	"time"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
)

// retryLimit bounds the wait that a node may ask for.
const retryLimit = 5 * time.Second

// Change submits a change until its outcome is known. A node that does not
// answer is followed by the next one. After a request that may have arrived,
// the outcome is queried by the change's id first, and the change is submitted
// again with the same id only when no node knows it.
func (r *Requester) Change(ctx context.Context, payload *settings.SubmitPayload) (*settings.Outcome, error) {
	payload.Token = r.Authorization()
	submit := func(ctx context.Context, node *Node) (*settings.Outcome, error) {
		return node.Settings.Submit(ctx, payload)
	}
	query := func(ctx context.Context, node *Node) (*settings.Outcome, error) {
		return node.Settings.OutcomeEndpoint(ctx, &settings.OutcomePayload{Token: payload.Token, ID: payload.ID})
	}
	// sent means that the change may have been received; ask means that the
	// next request is a query.
	sent, ask := false, false
	var last *Failure
	for failed := 0; ; {
		do := submit
		if ask {
			do = query
		}
		outcome, failure := exchange(ctx, r, do)
		wait := r.Interval
		switch {
		case failure == nil && outcome.Status != string(sycamorerun.StatusUnknown):
			return outcome, nil
		case failure == nil:
			sent, ask, failed = true, true, 0
			last = &Failure{Server: r.nodes[r.current].Server, Reason: "the node does not know the outcome yet"}
			if outcome.Retry != nil {
				wait = pause(wait, time.Duration(*outcome.Retry)*time.Millisecond)
			}
		case failure.Kind == Missing && ask:
			ask, last = false, failure
		case failure.Kind == Unreachable:
			last = failure
			sent = sent || (failure.Sent && !ask)
			ask = sent
			r.next()
			if failed++; failed < len(r.nodes) {
				wait = 0
				break
			}
			failed = 0
			if !sent {
				return nil, failure
			}
			wait = pause(wait, failure.Retry)
		case failure.Kind == Broken && failure.Sent && !ask:
			sent, ask, last = true, true, failure
		case sent:
			return nil, unknown(payload.ID, failure)
		default:
			return nil, failure
		}
		if !sleep(ctx, wait) {
			if sent {
				return nil, unknown(payload.ID, last)
			}
			return nil, last
		}
	}
}

// pause returns the node's wait within the bounds.
func pause(least, asked time.Duration) time.Duration {
	return min(max(least, asked), retryLimit)
}

func unknown(id string, last *Failure) *Failure {
	return &Failure{Kind: Unknown, ID: id, Server: last.Server, Code: last.Code, Reason: last.Reason, Sent: true}
}
