package requester

import (
	"context"
	"time"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
)

// maxRetryDelay limits the delay that a node may ask for.
const maxRetryDelay = 5 * time.Second

// Change submits a change and retries until its outcome is known. It fails over
// to the next node when one does not respond. After a submission that a node may
// have received, it queries the outcome by the change's id, and submits the
// change again, under the same id, only when a node answers that it does not
// know the id.
func (r *Requester) Change(ctx context.Context, payload *settings.SubmitPayload) (*settings.Outcome, error) {
	payload.Token = r.Authorization()
	submit := func(ctx context.Context, node *Node) (*settings.Outcome, error) {
		return node.Settings.Submit(ctx, payload)
	}
	query := func(ctx context.Context, node *Node) (*settings.Outcome, error) {
		return node.Settings.OutcomeEndpoint(ctx, &settings.OutcomePayload{Token: payload.Token, ID: payload.ID})
	}
	// sent means that a node may have received the change; queryNext means that
	// the next request queries the outcome.
	sent, queryNext := false, false
	var lastFailure *Failure
	for failedNodes := 0; ; {
		call := submit
		if queryNext {
			call = query
		}
		outcome, failure := callNode(ctx, r, call)
		delay := r.PollInterval
		switch {
		case failure == nil && outcome.Status != string(sycamorerun.StatusUnknown):
			return outcome, nil
		case failure == nil:
			sent, queryNext, failedNodes = true, true, 0
			lastFailure = &Failure{Server: r.nodes[r.current].Server, Reason: "the node does not know the outcome yet"}
			if outcome.Retry != nil {
				delay = clampRetryDelay(delay, time.Duration(*outcome.Retry)*time.Millisecond)
			}
		case failure.Kind == NotFound && queryNext:
			queryNext, lastFailure = false, failure
		case failure.Kind == Unreachable:
			lastFailure = failure
			sent = sent || (failure.Sent && !queryNext)
			queryNext = sent
			r.selectNext()
			if failedNodes++; failedNodes < len(r.nodes) {
				delay = 0
				break
			}
			failedNodes = 0
			if !sent {
				return nil, failure
			}
			delay = clampRetryDelay(delay, failure.RetryAfter)
		case failure.Kind == InvalidResponse && failure.Sent && !queryNext:
			sent, queryNext, lastFailure = true, true, failure
		case sent:
			return nil, newOutcomeUnknown(payload.ID, failure)
		default:
			return nil, failure
		}
		if !sleep(ctx, delay) {
			if sent {
				return nil, newOutcomeUnknown(payload.ID, lastFailure)
			}
			return nil, lastFailure
		}
	}
}

// clampRetryDelay returns the delay that the node asked for, within minimum and
// maxRetryDelay.
func clampRetryDelay(minimum, requested time.Duration) time.Duration {
	return min(max(minimum, requested), maxRetryDelay)
}

// newOutcomeUnknown returns the failure for a change whose outcome could not be
// determined, with the details of the last failure.
func newOutcomeUnknown(id string, lastFailure *Failure) *Failure {
	return &Failure{Kind: OutcomeUnknown, ChangeID: id, Server: lastFailure.Server, Code: lastFailure.Code, Reason: lastFailure.Reason, Sent: true}
}
