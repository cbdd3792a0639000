package recorder

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Kinds of journal lines that are not events.
const (
	lineRun    = "run"
	lineUpload = "upload"
)

// writeLine writes a line to the journal, if there is one. The journal preserves
// the records of a killed process.
func (r *Recorder) writeLine(kind, value string) {
	if r.Journal != nil {
		// A failed write is detectable: the journal then lacks the run of a request
		// that was answered.
		_, _ = fmt.Fprintf(r.Journal, "%s %s\n", kind, value)
	}
}

// Replay returns the runs and uploads of a journal, to which several processes
// may have written one after the other.
func Replay(journal io.Reader) (Records, error) {
	recorder := New()
	scanner := bufio.NewScanner(journal)
	for scanner.Scan() {
		kind, value, _ := strings.Cut(scanner.Text(), " ")
		switch kind {
		case lineRun:
			recorder.RecordRun(value)
		case lineUpload:
			recorder.RecordUpload(value)
		default:
			if _, known, err := parseEvent(scanner.Text()); err != nil || !known {
				return Records{}, errors.Errorf("malformed journal line %q", scanner.Text())
			}
		}
	}
	return recorder.Records(), errors.Wrap(scanner.Err(), "read journal")
}
