package player

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/experimenter"
	"sycamorerun/bench/judge"
	"sycamorerun/ctl/requester"
)

// submitRetryDelay is the delay between submissions of the same change.
const submitRetryDelay = 200 * time.Millisecond

// writeVersions submits settings changes at the interval of the event. Changes
// do not overlap: the next one is submitted after the outcome of the previous
// one is known.
func (r *run) writeVersions(runCtx context.Context, event experimenter.Event) {
	ctx, cancel := context.WithDeadline(runCtx, r.start.Add(event.End()))
	defer cancel()
	var nodes []*deployer.Node
	for _, place := range r.experiment.Fleet.Select(event.On) {
		nodes = append(nodes, r.fleet.Node(place.Node))
	}
	for i, due := 0, r.start.Add(event.At); ctx.Err() == nil; i++ {
		deployer.Pause(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		// Uses the context of the run, since the outcome may arrive after the end
		// of the event.
		if !r.writeVersion(runCtx, r.orderNodes(nodes, i%len(nodes))) {
			return
		}
		for !due.After(time.Now()) {
			due = due.Add(event.Every)
		}
	}
}

// orderNodes returns the nodes rotated so that first leads, with stopped nodes
// at the end, because a request to a paused node blocks until its timeout.
func (r *run) orderNodes(nodes []*deployer.Node, first int) []*deployer.Node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ordered := slices.Concat(nodes[first:], nodes[:first])
	slices.SortStableFunc(ordered, func(a, b *deployer.Node) int {
		return min(r.stopCounts[a.Name], 1) - min(r.stopCounts[b.Name], 1)
	})
	return ordered
}

// writeVersion submits the next marker version. It reports false if the outcome
// remains unknown, since the version could then be applied after a later one.
func (r *run) writeVersion(ctx context.Context, nodes []*deployer.Node) bool {
	r.mutex.Lock()
	r.lastMarker++
	change := Change{Node: nodes[0].Name, Number: r.lastMarker}
	r.mutex.Unlock()
	text := markerSettings(r.experiment, change.Number)
	start := time.Now()
	outcome, err := r.submit(ctx, &settings.SubmitPayload{ID: uuid.NewString(), Kind: "apply", Team: teamMarker, Settings: &text}, nodes)
	end := time.Now()
	change.At, change.AcceptanceLatency = r.secondsSinceStart(start), sycamorerun.Duration(end.Sub(start))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case notSent(err):
		change.Status, err = "not sent", nil // No node was reachable.
	case err != nil:
		change.Status = "unknown: " + err.Error()
	case outcome.Version != nil:
		change.Status, change.Version = outcome.Status, *outcome.Version
		r.operator.Versions = append(r.operator.Versions, judge.Version{Number: change.Number, Accepted: end})
	default:
		change.Status = outcome.Status
	}
	r.changes = append(r.changes, change)
	r.outcomeTimes = append(r.outcomeTimes, end)
	return err == nil
}

// submit sends a change until its outcome is known or ctx ends. All attempts
// use the same ID, so that the change is accepted at most once. A node that has
// just started rejects an attempt because it does not know the operators yet.
func (r *run) submit(ctx context.Context, payload *settings.SubmitPayload, nodes []*deployer.Node) (*settings.Outcome, error) {
	for {
		outcome, err := r.fleet.Change(ctx, teamMarker, payload, nodes...)
		if err == nil || notSent(err) || ctx.Err() != nil {
			return outcome, err
		}
		deployer.Pause(ctx, submitRetryDelay)
	}
}

// notSent reports whether a change failed because no node was reachable.
func notSent(err error) bool {
	var failure *requester.Failure
	return errors.As(err, &failure) && !failure.Sent
}
