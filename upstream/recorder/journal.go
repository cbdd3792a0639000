package recorder

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Kinds of the lines of a journal.
const (
	lineRun    = "run"
	lineUpload = "upload"
)

// note writes a line to the journal, if there is one. A killed process loses
// its memory but not what it wrote.
func (r *Recorder) note(kind, value string) {
	if r.Journal != nil {
		// A line that is lost here shows as an answered request that never ran.
		_, _ = fmt.Fprintf(r.Journal, "%s %s\n", kind, value)
	}
}

// Replay returns the runs and uploads of a journal, which may stem from
// several processes one after the other.
func Replay(journal io.Reader) (Records, error) {
	recorder := New()
	scanner := bufio.NewScanner(journal)
	for scanner.Scan() {
		kind, value, _ := strings.Cut(scanner.Text(), " ")
		switch kind {
		case lineRun:
			recorder.RecordRun(value)
		case lineUpload:
			recorder.Upload(value)
		default:
			if _, known, err := parseEvent(scanner.Text()); err != nil || !known {
				return Records{}, errors.Errorf("journal line %q", scanner.Text())
			}
		}
	}
	return recorder.Records(), errors.Wrap(scanner.Err(), "read journal")
}
