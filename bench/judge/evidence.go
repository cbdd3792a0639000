package judge

import (
	"time"

	"sycamorerun/upstream/recorder"
)

// execution is one execution of a request by an upstream.
type execution struct {
	id, instance string
	start, end   time.Time
	// ended is false if the journal has no end of the execution. In that case, end
	// is the time of the last event of the same process.
	ended bool
}

// arrival is a request that reached an upstream after the confirmation of the
// upstream's departure.
type arrival struct {
	recorder.Event
	departed time.Time
}

// evidence is the content of the journals.
type evidence struct {
	executions map[string][]*execution
	damaged    []recorder.Event
	late       []arrival // Arrivals after a confirmed departure.
}

// collect returns the evidence of the journals.
func collect(journals [][]recorder.Event) evidence {
	e := evidence{executions: map[string][]*execution{}}
	for _, journal := range journals {
		e.readJournal(journal)
	}
	return e
}

// readJournal adds one journal, whose events are in chronological order.
func (e *evidence) readJournal(journal []recorder.Event) {
	var departed, last time.Time
	running := map[string][]*execution{}
	endRunning := func() {
		for _, executions := range running {
			for _, execution := range executions {
				execution.end = last
			}
		}
		clear(running)
	}
	for _, event := range journal {
		switch event.Step {
		case recorder.StepBoot:
			endRunning()
			departed = time.Time{}
		case recorder.StepReady:
			departed = time.Time{}
		case recorder.StepLeave:
			departed = event.Time
		case recorder.StepStart:
			started := &execution{id: event.ID, instance: event.Instance, start: event.Time}
			e.executions[event.ID] = append(e.executions[event.ID], started)
			running[event.ID] = append(running[event.ID], started)
		case recorder.StepEnd, recorder.StepBreak:
			if executions := running[event.ID]; len(executions) > 0 {
				executions[0].end, executions[0].ended = event.Time, true
				running[event.ID] = executions[1:]
			}
		case recorder.StepDamage:
			e.damaged = append(e.damaged, event)
		}
		if !departed.IsZero() && showsArrival(event.Step) {
			e.late = append(e.late, arrival{event, departed})
		}
		last = event.Time
	}
	endRunning()
}

// showsArrival reports whether a step shows that a request reached the upstream.
func showsArrival(step recorder.Step) bool {
	return step == recorder.StepStart || step == recorder.StepShed || step == recorder.StepDamage
}
