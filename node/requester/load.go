package requester

import (
	"net/http"
	"strconv"
	"strings"
)

// Load is the work that an upstream reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// loadMost bounds the numbers of a credible report.
const loadMost = 1 << 20

// ReadLoad returns the report "running,waiting,slots" in the header with the
// given name, if there is one that can be read.
func ReadLoad(header http.Header, name string) (Load, bool) {
	text := lookup(header, name)
	if len(text) > 64 {
		return Load{}, false
	}
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var numbers [3]int
	for at, part := range parts {
		number, err := strconv.ParseUint(strings.Trim(part, " \t"), 10, 32)
		if err != nil || number > loadMost {
			return Load{}, false
		}
		numbers[at] = int(number)
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, numbers[2] > 0
}
