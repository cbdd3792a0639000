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
	// Status reads and Count lookups are fast and frequent.
	Status Kind = "status"
	Count  Kind = "count"
	// Order is a booking or a deposit, which must not run twice.
	Order Kind = "order"
	// Upload is a large body that must arrive whole.
	Upload Kind = "upload"
	// History is a slow pull that must finish.
	History Kind = "history"
	// Sync is the stock sync in the background.
	Sync Kind = "sync"
)

// workload says how callers make the calls of a kind.
type workload struct {
	method string
	host   string
	path   string
	// bytes bounds the random body, keyed says that calls have a key.
	bytes int
	keyed bool
	// single says that every second caller makes one attempt only, so that what
	// it was told is judged alone.
	single bool
	// pause is the time between two calls of a caller, timeout bounds a call.
	pause   time.Duration
	timeout time.Duration
	// sum is the hash of the answer, if it is known.
	sum string
}

const (
	historyBytes = 1 << 20
	uploadBytes  = 2 << 20
)

// workloads have a host name for each kind. In a path %s is the item's id,
// with which the upstream counts an execution. Calls that count one take some
// time after it, so that failures hit calls that ran and are not answered.
var workloads = map[Kind]workload{
	Status:  {method: http.MethodGet, host: "status.example", path: "/book?key=%s&for=5ms", pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Count:   {method: http.MethodGet, host: "count.example", path: "/book?key=%s&for=5ms", pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Order:   {method: http.MethodPost, host: "order.example", path: "/book?for=100ms", keyed: true, single: true, pause: 10 * time.Millisecond, timeout: 3 * time.Second},
	Upload:  {method: http.MethodPost, host: "upload.example", path: "/upload", bytes: uploadBytes, single: true, pause: 20 * time.Millisecond, timeout: 8 * time.Second},
	History: {method: http.MethodGet, host: "history.example", path: fmt.Sprintf("/bytes?size=%d&for=1s", historyBytes), pause: 20 * time.Millisecond, timeout: 8 * time.Second, sum: patternSum(historyBytes)},
	Sync:    {method: http.MethodGet, host: "sync.example", path: "/slow?for=200ms", timeout: 8 * time.Second},
}

// patternSum is the hash of the stand-in upstream's pattern.
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

// body returns the random body of a call, nil if the kind has none.
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

// attempts returns how often a caller makes a call.
func (w workload) attempts(caller int) int {
	if w.single && caller%2 == 1 {
		return 1
	}
	return attempts
}

// header returns the header of a call.
func (w workload) header(id string) http.Header {
	header := http.Header{}
	if w.keyed {
		// http.Transport would repeat a request with the canonical name by itself
		// and hide what its first attempt was told.
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

// whole reports whether an answer is the complete one to the call.
func (w workload) whole(item *Call, answer []byte) bool {
	switch {
	case w.sum != "":
		return sumOf(answer) == w.sum
	case item.Sum != "":
		return strings.Contains(string(answer), item.Sum)
	case w.keyed || w.path != w.target(item.ID):
		return strings.Contains(string(answer), `"`+item.ID+`"`)
	}
	return true
}
