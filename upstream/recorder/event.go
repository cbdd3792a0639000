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

// Step is the kind of an event of a request or of the upstream itself.
type Step string

// Steps in a journal.
const (
	// StepBoot is the start of an upstream, StepLeave the node's confirmation that
	// the upstream drains or has left, and StepReady the confirmation that it serves
	// again.
	StepBoot  Step = "boot"
	StepLeave Step = "leave"
	StepReady Step = "ready"
	// StepStart is the start of a request's execution and StepEnd its completion.
	// StepBreak is its abort because the client disconnected, the deadline passed
	// or the response could not be sent.
	StepStart Step = "start"
	StepEnd   Step = "end"
	StepBreak Step = "break"
	// StepShed is a request that was rejected, and StepDamage a request whose body
	// does not match its id. Neither is executed.
	StepShed   Step = "shed"
	StepDamage Step = "damage"
)

// isRequestStep has all known steps and whether their events have a request id.
var isRequestStep = map[Step]bool{
	StepBoot: false, StepLeave: false, StepReady: false,
	StepStart: true, StepEnd: true, StepBreak: true, StepShed: true, StepDamage: true,
}

// Event is a line of a journal.
type Event struct {
	Step Step
	// Instance is the upstream's name.
	Instance string
	// ID is the request's id, empty for steps of the upstream itself.
	ID   string
	Time time.Time
}

// LogEvent writes an event of this upstream to the journal. It does not buffer
// the line, so that a killed process loses none.
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
	// A failed write is detectable: the journal then lacks the start of a request
	// that was answered.
	_, _ = fmt.Fprintln(r.Journal, line)
}

// Events returns the events of a journal in order and skips other lines. It
// ignores an incomplete last line, since the process may have been killed while
// writing it.
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

// parseEvent parses a line. It returns false for a line of another kind.
func parseEvent(line string) (Event, bool, error) {
	fields := strings.Split(line, " ")
	step := Step(fields[0])
	isRequest, known := isRequestStep[step]
	if !known {
		return Event{}, false, nil
	}
	fieldCount := 3
	if isRequest {
		fieldCount = 4
	}
	if len(fields) != fieldCount {
		return Event{}, false, errors.Errorf("malformed journal line %q", line)
	}
	nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Event{}, false, errors.Wrapf(err, "malformed journal line %q", line)
	}
	event := Event{Step: step, Instance: fields[2], Time: time.Unix(0, nanoseconds)}
	if isRequest {
		event.ID = fields[3]
	}
	return event, true, nil
}
