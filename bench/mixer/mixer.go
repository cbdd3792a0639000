// Package mixer makes the calls of a deployment's workloads at the same time
// and keeps what each caller was told.
package mixer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"sycamorerun"
)

const (
	// attempts bounds how often a caller makes a call, each time at another
	// node.
	attempts = 4
	// backoff is the time to the next attempt.
	backoff = 50 * time.Millisecond
)

// Attempt is what a caller was told about one attempt.
type Attempt struct {
	Node   string
	Began  time.Time
	Took   time.Duration
	Result sycamorerun.Result
	Status int
	// Reason is the node's reason, or the caller's own error.
	Reason string
	// Whole says that the answer was complete and the one to this call.
	Whole bool
}

// Answered reports whether the attempt brought an answer of the upstream other
// than an error status.
func (t Attempt) Answered() bool {
	return t.Result == sycamorerun.Answered && t.Status == http.StatusOK
}

// Call is one call with its attempts.
type Call struct {
	Kind Kind
	ID   string
	// Sum is the hash of the request body.
	Sum      string
	Attempts []Attempt
}

// Answered reports whether an attempt was answered.
func (i *Call) Answered() bool {
	for _, told := range i.Attempts {
		if told.Answered() {
			return true
		}
	}
	return false
}

// NotRun reports whether every attempt was told that it did not run.
func (i *Call) NotRun() bool {
	for _, told := range i.Attempts {
		if told.Result != sycamorerun.NotRun {
			return false
		}
	}
	return true
}

// Mixer is the callers of a fleet.
type Mixer struct {
	// Entries are the nodes that callers use, by name.
	Entries map[string]netip.AddrPort
	// Callers is the number of callers of each kind.
	Callers map[Kind]int
	// Seed fixes the callers' choices.
	Seed uint64

	client http.Client
	names  []string
	mutex  sync.Mutex
	items  []*Call
}

// New returns a Mixer that has made no calls. The names of the entries are
// given in a fixed order, so that the seed means the same each time.
func New(names []string, entries map[string]netip.AddrPort, callers map[Kind]int, seed uint64) *Mixer {
	return &Mixer{
		Entries: entries, Callers: callers, Seed: seed, names: names,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// Run makes calls until ctx ends, and waits for those in flight.
func (m *Mixer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer m.client.CloseIdleConnections()
	defer group.Wait()
	for kind, callers := range m.Callers {
		for number := range callers {
			group.Go(func() { m.caller(ctx, kind, number) })
		}
	}
}

// Calls returns what callers have been told. It is called after Run.
func (m *Mixer) Calls() []*Call {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.items
}

// caller makes calls one after the other.
func (m *Mixer) caller(ctx context.Context, kind Kind, number int) {
	random := rand.New(rand.NewPCG(m.Seed, uint64(number)))
	load := workloads[kind]
	for round := 0; ctx.Err() == nil; round++ {
		item := &Call{Kind: kind, ID: fmt.Sprintf("%s-%d-%d", kind, number, round)}
		body := load.body(random)
		if body != nil {
			item.Sum = sumOf(body)
		}
		first := random.IntN(len(m.names))
		for n := range load.attempts(number) {
			told := m.Send(ctx, m.names[(first+n)%len(m.names)], item, body)
			item.Attempts = append(item.Attempts, told)
			if told.Answered() {
				break
			}
			time.Sleep(backoff)
		}
		m.mutex.Lock()
		m.items = append(m.items, item)
		m.mutex.Unlock()
		time.Sleep(load.pause)
	}
}

// Send makes one attempt of a call at a node. The end of ctx does not end it.
func (m *Mixer) Send(ctx context.Context, node string, item *Call, body []byte) (told Attempt) {
	load := workloads[item.Kind]
	told = Attempt{Node: node, Began: time.Now(), Result: sycamorerun.Unknown}
	defer func() { told.Took = time.Since(told.Began) }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), load.timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, load.method, "http://"+m.Entries[node].String()+load.target(item.ID), reader)
	if err != nil {
		panic(err)
	}
	request.Host, request.Header, request.GetBody = load.host, load.header(item.ID), nil
	response, err := m.client.Do(request)
	if err != nil {
		told.Reason = err.Error()
		return told
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		told.Reason = err.Error()
		return told
	}
	told.Status = response.StatusCode
	told.Result = sycamorerun.Result(response.Header.Get(sycamorerun.HeaderOutcome))
	told.Reason = response.Header.Get(sycamorerun.HeaderReason)
	told.Whole = load.whole(item, answer)
	if !told.Answered() && told.Reason == "" {
		told.Reason = strings.TrimSpace(string(answer[:min(len(answer), 80)]))
	}
	return told
}
