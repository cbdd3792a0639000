package recorder

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Step is what happened to a request or to the upstream itself.
type Step string

// Steps of the journal.
const (
	// StepBoot is the start of an upstream, StepLeave the confirmation that it
	// drains or is gone, and StepReady the confirmation that it serves again.
	StepBoot  Step = "boot"
	StepLeave Step = "leave"
	StepReady Step = "ready"
	// StepStart is the start of a request's execution, StepEnd its complete end,
	// and StepBreak an end because the client went away, the deadline passed or
	// the response could not be sent.
	StepStart Step = "start"
	StepEnd   Step = "end"
	StepBreak Step = "break"
	// StepShed is a request that arrived and was refused, StepDamage one whose
	// body is not the one that belongs to its id. Neither is executed.
	StepShed   Step = "shed"
	StepDamage Step = "damage"
)

// requestSteps carry the id of a request.
var requestSteps = map[Step]bool{
	StepBoot: false, StepLeave: false, StepReady: false,
	StepStart: true, StepEnd: true, StepBreak: true, StepShed: true, StepDamage: true,
}

// Event is a line of the journal.
type Event struct {
	Step Step
	// Instance is the upstream's name.
	Instance string
	// ID is that of a request, empty for the upstream's own steps.
	ID   string
	Time time.Time
}

// LogEvent writes an event of this upstream to the journal. The line is written
// at once, so that a killed process loses none.
func (r *Recorder) LogEvent(now time.Time, step Step, id string) {
	if r.Journal == nil {
		return
	}
	line := string(step) + " " + strconv.FormatInt(now.UnixNano(), 10) + " " + r.Instance
	if id != "" {
		line += " " + id
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A start that is lost here shows as an answered request that never ran.
	_, _ = fmt.Fprintln(r.Journal, line)
}

// Events returns the events of a journal in their order and passes over its
// other lines. The process may have been killed during the last line.
func Events(journal io.Reader) ([]Event, error) {
	var events []Event
	reader := bufio.NewReader(journal)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read journal")
		}
		event, known, err := parseEvent(strings.TrimSuffix(line, "\n"))
		if err != nil {
			return nil, err
		}
		if known {
			events = append(events, event)
		}
	}
}

// parseEvent reports false for a line of another kind.
func parseEvent(line string) (Event, bool, error) {
	fields := strings.Split(line, " ")
	step := Step(fields[0])
	request, known := requestSteps[step]
	if !known {
		return Event{}, false, nil
	}
	wanted := 3
	if request {
		wanted = 4
	}
	if len(fields) != wanted {
		return Event{}, false, errors.Errorf("journal line %q", line)
	}
	nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Event{}, false, errors.Wrapf(err, "journal line %q", line)
	}
	event := Event{Step: step, Instance: fields[2], Time: time.Unix(0, nanoseconds)}
	if request {
		event.ID = fields[3]
	}
	return event, true, nil
}
