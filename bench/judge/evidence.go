package judge

import (
	"time"

	"sycamorerun/upstream/recorder"
)

// run is one execution of a request.
type run struct {
	id, instance string
	start, end   time.Time
	// ended is false for a run that a journal does not end; then end is the time
	// of the last event of the same process.
	ended bool
}

// arrival is a request that reached an upstream after its departure was
// confirmed.
type arrival struct {
	recorder.Event
	left time.Time
}

// evidence is what the journals show.
type evidence struct {
	runs    map[string][]*run
	damaged []recorder.Event
	late    []arrival
}

// collect reads the journals.
func collect(journals [][]recorder.Event) evidence {
	e := evidence{runs: map[string][]*run{}}
	for _, journal := range journals {
		e.read(journal)
	}
	return e
}

// read takes one journal, which is in the order of time.
func (e *evidence) read(journal []recorder.Event) {
	var left, last time.Time
	open := map[string][]*run{}
	closeAll := func() {
		for _, runs := range open {
			for _, run := range runs {
				run.end = last
			}
		}
		clear(open)
	}
	for _, event := range journal {
		switch event.Step {
		case recorder.StepBoot:
			closeAll()
			left = time.Time{}
		case recorder.StepReady:
			left = time.Time{}
		case recorder.StepLeave:
			left = event.Time
		case recorder.StepStart:
			started := &run{id: event.ID, instance: event.Instance, start: event.Time}
			e.runs[event.ID] = append(e.runs[event.ID], started)
			open[event.ID] = append(open[event.ID], started)
		case recorder.StepEnd, recorder.StepBreak:
			if runs := open[event.ID]; len(runs) > 0 {
				runs[0].end, runs[0].ended = event.Time, true
				open[event.ID] = runs[1:]
			}
		case recorder.StepDamage:
			e.damaged = append(e.damaged, event)
		}
		if !left.IsZero() && arrives(event.Step) {
			e.late = append(e.late, arrival{event, left})
		}
		last = event.Time
	}
	closeAll()
}

// arrives reports whether a step shows that a request reached the upstream.
func arrives(step recorder.Step) bool {
	return step == recorder.StepStart || step == recorder.StepShed || step == recorder.StepDamage
}
