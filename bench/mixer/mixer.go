// Package mixer runs the workloads of a deployment concurrently and records the
// results of all calls.
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
	// maxAttempts limits the attempts of a call, each of which goes to another node.
	maxAttempts = 4
	// backoff is the delay before the next attempt.
	backoff = 50 * time.Millisecond
)

// Attempt is one attempt of a call and its outcome as the caller saw it.
type Attempt struct {
	Node   string
	Began  time.Time
	Took   time.Duration
	Result sycamorerun.Result
	Status int
	// Reason is the reason that the node stated, or the error of the HTTP client.
	Reason string
	// Whole says that the response was complete and belonged to this call.
	Whole bool
}

// Answered reports whether the attempt got a response with status 200 from the
// upstream.
func (a Attempt) Answered() bool {
	return a.Result == sycamorerun.Answered && a.Status == http.StatusOK
}

// Call is one call with its attempts.
type Call struct {
	Kind Kind
	ID   string
	// Sum is the hash of the request body.
	Sum      string
	Attempts []Attempt
}

// Answered reports whether any attempt was answered.
func (c *Call) Answered() bool {
	for _, attempt := range c.Attempts {
		if attempt.Answered() {
			return true
		}
	}
	return false
}

// NotRun reports whether every attempt had the result "not run".
func (c *Call) NotRun() bool {
	for _, attempt := range c.Attempts {
		if attempt.Result != sycamorerun.NotRun {
			return false
		}
	}
	return true
}

// Mixer runs the callers of all workloads.
type Mixer struct {
	// Entries has the addresses of the nodes that callers use, by name.
	Entries map[string]netip.AddrPort
	// Callers is the number of callers of each kind.
	Callers map[Kind]int
	// Seed makes the choices of the callers reproducible.
	Seed uint64

	client http.Client
	names  []string
	mutex  sync.Mutex
	calls  []*Call
}

// New returns a Mixer. The order of names is part of what the seed selects, so it
// must be the same in each run.
func New(names []string, entries map[string]netip.AddrPort, callers map[Kind]int, seed uint64) *Mixer {
	return &Mixer{
		Entries: entries, Callers: callers, Seed: seed, names: names,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// Run makes calls until ctx ends and waits for those in flight.
func (m *Mixer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer m.client.CloseIdleConnections()
	defer group.Wait()
	for kind, callers := range m.Callers {
		for number := range callers {
			group.Go(func() { m.runCaller(ctx, kind, number) })
		}
	}
}

// Calls returns the calls that were made. It must be called after Run.
func (m *Mixer) Calls() []*Call {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls
}

// runCaller makes calls one after the other.
func (m *Mixer) runCaller(ctx context.Context, kind Kind, number int) {
	random := rand.New(rand.NewPCG(m.Seed, uint64(number)))
	load := workloads[kind]
	for round := 0; ctx.Err() == nil; round++ {
		call := &Call{Kind: kind, ID: fmt.Sprintf("%s-%d-%d", kind, number, round)}
		body := load.body(random)
		if body != nil {
			call.Sum = sumOf(body)
		}
		first := random.IntN(len(m.names))
		for n := range load.attemptLimit(number) {
			attempt := m.Send(ctx, m.names[(first+n)%len(m.names)], call, body)
			call.Attempts = append(call.Attempts, attempt)
			if attempt.Answered() {
				break
			}
			time.Sleep(backoff)
		}
		m.mutex.Lock()
		m.calls = append(m.calls, call)
		m.mutex.Unlock()
		time.Sleep(load.pause)
	}
}

// Send sends one attempt of a call to a node. The end of ctx does not end it.
func (m *Mixer) Send(ctx context.Context, node string, call *Call, body []byte) (attempt Attempt) {
	load := workloads[call.Kind]
	attempt = Attempt{Node: node, Began: time.Now(), Result: sycamorerun.Unknown}
	defer func() { attempt.Took = time.Since(attempt.Began) }()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), load.timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, load.method, "http://"+m.Entries[node].String()+load.target(call.ID), reader)
	if err != nil {
		panic(err)
	}
	request.Host, request.Header, request.GetBody = load.host, load.header(call.ID), nil
	response, err := m.client.Do(request)
	if err != nil {
		attempt.Reason = err.Error()
		return attempt
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		attempt.Reason = err.Error()
		return attempt
	}
	attempt.Status = response.StatusCode
	attempt.Result = sycamorerun.Result(response.Header.Get(sycamorerun.HeaderOutcome))
	attempt.Reason = response.Header.Get(sycamorerun.HeaderReason)
	attempt.Whole = load.complete(call, received)
	if !attempt.Answered() && attempt.Reason == "" {
		attempt.Reason = strings.TrimSpace(string(received[:min(len(received), 80)]))
	}
	return attempt
}
