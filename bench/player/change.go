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

// submitPause is the time until a change is sent again.
const submitPause = 200 * time.Millisecond

// write lets the operator write versions, one after the other: the next one
// follows when the outcome of the last one is known.
func (r *run) write(run context.Context, event experimenter.Event) {
	ctx, cancel := context.WithDeadline(run, r.start.Add(event.End()))
	defer cancel()
	var nodes []*deployer.Node
	for _, place := range r.x.Fleet.Select(event.On) {
		nodes = append(nodes, r.fleet.Node(place.Node))
	}
	for i, due := 0, r.start.Add(event.At); ctx.Err() == nil; i++ {
		deployer.Pause(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		// The outcome is awaited also after the end of the event.
		if !r.change(run, r.order(nodes, i%len(nodes))) {
			return
		}
		for !due.After(time.Now()) {
			due = due.Add(event.Every)
		}
	}
}

// order returns the nodes from one on, those that are stopped last: a paused
// one would only keep the operator waiting.
func (r *run) order(nodes []*deployer.Node, first int) []*deployer.Node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ordered := slices.Concat(nodes[first:], nodes[:first])
	slices.SortStableFunc(ordered, func(a, b *deployer.Node) int {
		return min(r.down[a.Name], 1) - min(r.down[b.Name], 1)
	})
	return ordered
}

// change writes one version and reports false if its outcome stays unknown:
// a later one could then be overtaken by it.
func (r *run) change(ctx context.Context, nodes []*deployer.Node) bool {
	r.mutex.Lock()
	r.number++
	change := Change{Node: nodes[0].Name, Number: r.number}
	r.mutex.Unlock()
	text := markerSettings(r.x, change.Number)
	began := time.Now()
	outcome, err := r.submit(ctx, &settings.SubmitPayload{ID: uuid.NewString(), Kind: "apply", Team: teamMarker, Settings: &text}, nodes)
	ended := time.Now()
	change.At, change.Accepted = r.since(began), sycamorerun.Duration(ended.Sub(began))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case unsent(err):
		change.Status, err = "not sent", nil // No node could be reached.
	case err != nil:
		change.Status = "unknown: " + err.Error()
	case outcome.Version != nil:
		change.Status, change.Version = outcome.Status, *outcome.Version
		r.operator.Versions = append(r.operator.Versions, judge.Version{Number: change.Number, Accepted: ended})
	default:
		change.Status = outcome.Status
	}
	r.changes = append(r.changes, change)
	r.accepted = append(r.accepted, ended)
	return err == nil
}

// submit sends a change until its outcome is known or ctx ends. The id stays
// the same, so that it is accepted once at most. A node that has just started
// knows no operator yet, which ends a single try.
func (r *run) submit(ctx context.Context, payload *settings.SubmitPayload, nodes []*deployer.Node) (*settings.Outcome, error) {
	for {
		outcome, err := r.fleet.Change(ctx, teamMarker, payload, nodes...)
		if err == nil || unsent(err) || ctx.Err() != nil {
			return outcome, err
		}
		deployer.Pause(ctx, submitPause)
	}
}

// unsent reports whether a change failed because no node could be reached.
func unsent(err error) bool {
	var failure *requester.Failure
	return errors.As(err, &failure) && !failure.Sent
}
