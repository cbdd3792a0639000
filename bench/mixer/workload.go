package mixer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sycamorerun"
)

// Kind is a workload of the deployments.
type Kind string

// Kinds of workloads.
const (
	// Status and Count are fast and frequent reads.
	Status Kind = "status"
	Count  Kind = "count"
	// Order is a booking or a deposit, which must not be executed twice.
	Order Kind = "order"
	// Upload has a large request body that must arrive complete.
	Upload Kind = "upload"
	// History is a slow download that must be completed.
	History Kind = "history"
	// Sync is the stock synchronization in the background.
	Sync Kind = "sync"
)

// workload describes the calls of a kind.
type workload struct {
	method string
	host   string
	path   string
	// bytes is the maximum size of the random body. keyed says that calls have an
	// idempotency key.
	bytes int
	keyed bool
	// singleAttempt says that every second caller makes one attempt only, so that
	// the result of that attempt is judged on its own.
	singleAttempt bool
	// pause is the time between two calls of a caller, timeout that of one attempt.
	pause   time.Duration
	timeout time.Duration
	// sum is the expected hash of the response body, if it is known.
	sum string
}

const (
	historyBytes = 1 << 20
	uploadBytes  = 2 << 20
)

// workloads has the workload of each kind, with its own host name. In a path, %s is
// the id of the call, by which the upstream counts executions. Such calls take some
// time after the upstream counted them, so that failures also hit calls that were
// executed and not yet answered.
var workloads = map[Kind]workload{
	Status:  {method: http.MethodGet, host: "status.example", path: "/book?key=%s&for=5ms", pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Count:   {method: http.MethodGet, host: "count.example", path: "/book?key=%s&for=5ms", pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Order:   {method: http.MethodPost, host: "order.example", path: "/book?for=100ms", keyed: true, singleAttempt: true, pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Upload:  {method: http.MethodPost, host: "upload.example", path: "/upload", bytes: uploadBytes, singleAttempt: true, pause: 20 * time.Millisecond, timeout: 8 * time.Second},
	History: {method: http.MethodGet, host: "history.example", path: fmt.Sprintf("/bytes?size=%d&for=1s", historyBytes), pause: 20 * time.Millisecond, timeout: 8 * time.Second, sum: patternSum(historyBytes)},
	Sync:    {method: http.MethodGet, host: "sync.example", path: "/slow?for=200ms", timeout: 8 * time.Second},
}

// patternSum returns the hash of the byte pattern that the stand-in upstream sends.
func patternSum(size int) string {
	pattern := make([]byte, size)
	for i := range pattern {
		pattern[i] = byte(i)
	}
	return sumOf(pattern)
}

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// body returns a random request body, or nil if the kind has none.
func (w workload) body(random *rand.Rand) []byte {
	if w.bytes == 0 {
		return nil
	}
	body := make([]byte, w.bytes/4+random.IntN(w.bytes*3/4))
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(random.Uint32())
	}
	_, _ = rand.NewChaCha8(seed).Read(body) // Never fails.
	return body
}

// attemptLimit returns the maximum number of attempts for a call of a caller.
func (w workload) attemptLimit(caller int) int {
	if w.singleAttempt && caller%2 == 1 {
		return 1
	}
	return maxAttempts
}

// header returns the request header of a call.
func (w workload) header(id string) http.Header {
	header := http.Header{}
	if w.keyed {
		// With the canonical header name, http.Transport would resend the request after
		// a connection failure and hide the result of the first attempt.
		header[strings.ToLower(sycamorerun.HeaderKey)] = []string{id}
	}
	return header
}

// target returns the path and query of a call.
func (w workload) target(id string) string {
	if strings.Contains(w.path, "%s") {
		return fmt.Sprintf(w.path, id)
	}
	return w.path
}

// complete reports whether received is the complete response to the call.
func (w workload) complete(call *Call, received []byte) bool {
	switch {
	case w.sum != "":
		return sumOf(received) == w.sum
	case call.Sum != "":
		return strings.Contains(string(received), call.Sum)
	case w.keyed || w.path != w.target(call.ID):
		return strings.Contains(string(received), `"`+call.ID+`"`)
	}
	return true
}
