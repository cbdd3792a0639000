package mixer

import (
	"fmt"

	"sycamorerun"
)

// Records are the records of the upstreams: the number of executions by id and the
// number of complete uploads by hash.
type Records struct {
	Runs    map[string]int
	Uploads map[string]int
}

// Judge compares the results that callers got with the records of the upstreams
// and returns all contradictions.
func Judge(calls []*Call, records Records) []string {
	var violations []string
	report := func(call *Call, violation string, executed int) {
		violations = append(violations, fmt.Sprintf("%s %s: executed %d times, told %+v", call.ID, violation, executed, call.Attempts))
	}
	sums := map[string]bool{}
	for _, call := range calls {
		executed, counted := call.executed(records)
		sums[call.Sum] = true
		for _, attempt := range call.Attempts {
			if attempt.Answered() && !attempt.Whole {
				report(call, "got an answer that is not whole or not its own", executed)
			}
		}
		if !counted {
			continue
		}
		if call.Answered() && executed == 0 {
			report(call, "was answered and did not run", executed)
		}
		if call.NotRun() && executed > 0 {
			report(call, "was told not-run each time and ran", executed)
		}
		if limit, bounded := call.maxExecutions(); bounded && executed > limit {
			report(call, "ran too often", executed)
		}
	}
	for sum := range records.Uploads {
		if !sums[sum] {
			violations = append(violations, "an upload was stored that no caller sent: "+sum)
		}
	}
	return violations
}

// executed returns how often the call was executed, and whether the records count
// calls of its kind.
func (c *Call) executed(records Records) (int, bool) {
	switch c.Kind {
	case Status, Count, Order:
		return records.Runs[c.ID], true
	case Upload:
		return records.Uploads[c.Sum], true
	default:
		return 0, false
	}
}

// maxExecutions returns how often the call may be executed, and whether there is a
// limit. A call with a key may be executed once and an upload once for each attempt
// whose result isn't "not run". Reads have no limit.
func (c *Call) maxExecutions() (int, bool) {
	switch c.Kind {
	case Order:
		return 1, true
	case Upload:
		limit := 0
		for _, attempt := range c.Attempts {
			if attempt.Result != sycamorerun.NotRun {
				limit++
			}
		}
		return limit, true
	default:
		return 0, false
	}
}
