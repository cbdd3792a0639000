package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

const (
	soakTime    = time.Second
	soakCallers = 8
	// maxFaultPause is the maximum time between two faults of a connection.
	maxFaultPause = 200 * time.Millisecond
)

// uploadPlan is what an upstream does with a body.
type uploadPlan string

const (
	planRun         uploadPlan = "run"
	planReject      uploadPlan = "reject"
	planRejectLater uploadPlan = "reject after a part"
	planRejectLast  uploadPlan = "reject after the body"
	planAnswerEarly uploadPlan = "answer early"
)

var uploadPlans = []uploadPlan{planRun, planRun, planReject, planRejectLater, planRejectLast, planAnswerEarly}

// soakCall is a call of the soak. Its body is made of its id.
type soakCall struct {
	id                  string
	bytes               int
	plan                uploadPlan
	chunked, repeatable bool

	result callResult
	// attempts counts the attempts at the upstream, runs those that it ran.
	attempts, runs int
}

func (c *soakCall) body() string { return strings.Repeat(c.id+" ", c.bytes/len(c.id)) }

// uploadSoak plays calls of many callers over one pair of nodes whose connections fail.
type uploadSoak struct {
	t     *testing.T
	fx    *fixture
	mutex sync.Mutex
	calls map[string]*soakCall
}

// newCall draws a call. The ids of a seed are distinct.
func (s *uploadSoak) newCall(random *rand.Rand) *soakCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := &soakCall{
		id: fmt.Sprintf("call-%06d", len(s.calls)), bytes: []int{0, 100, 40_000, 120_000}[random.IntN(4)],
		plan: uploadPlans[random.IntN(len(uploadPlans))], chunked: random.IntN(2) == 0, repeatable: random.IntN(2) == 0,
	}
	s.calls[call.id] = call
	return call
}

// begin returns the call of a request, and what the upstream does with this attempt.
func (s *uploadSoak) begin(id string) (*soakCall, uploadPlan) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := s.calls[id]
	if call.attempts++; call.attempts > 1 {
		return call, planRun
	}
	return call, call.plan
}

func (s *uploadSoak) recordRun(call *soakCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call.runs++
}

// serve is the upstream.
func (s *uploadSoak) serve(w http.ResponseWriter, r *http.Request) {
	call, plan := s.begin(r.Header.Get("X-Id"))
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("X-Id", call.id)
	w.Header().Set("X-Signature", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(call.id)))
	switch plan {
	case planRejectLater:
		_, _ = io.CopyN(io.Discard, r.Body, 1000)
	case planAnswerEarly:
		s.recordRun(call)
		_, _ = io.WriteString(w, call.id)
		_ = control.Flush()
	}
	if plan == planReject || plan == planRejectLater {
		s.reject(w, call)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return // a body that is not whole is not run
	}
	if string(data) != call.body() {
		s.t.Errorf("%+v: the upstream took %d bytes for the whole body of %d", *call, len(data), len(call.body()))
	}
	switch plan {
	case planRejectLast:
		s.reject(w, call)
	case planRun:
		s.recordRun(call)
		_, _ = io.WriteString(w, call.id)
	}
}

func (s *uploadSoak) reject(w http.ResponseWriter, call *soakCall) {
	w.Header().Set("X-Unexecuted", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, call.id)
}

// send sends a call.
func (s *uploadSoak) send(call *soakCall) {
	var body io.Reader = strings.NewReader(call.body())
	if call.chunked {
		body = struct{ io.Reader }{body}
	}
	r, _ := http.NewRequest(http.MethodPost, s.fx.callerServer.URL+"/x", body)
	r.Header.Set("X-Id", call.id)
	r.Header.Set("X-Repeatable", strconv.FormatBool(call.repeatable))
	call.result = s.fx.do(r)
}

// check checks what the caller was told, once the upstream gets nothing more.
func (s *uploadSoak) check(call *soakCall) {
	told := sycamorerun.Result(call.result.outcome)
	switch {
	case call.runs > 1 && !call.repeatable:
		s.t.Errorf("%+v ran twice", *call)
	case told == sycamorerun.NotRun && call.runs > 0:
		s.t.Errorf("%+v ran, but its caller was told that it did not", *call)
	case told == sycamorerun.Answered && (call.runs == 0 || call.result.err == nil && call.result.body != call.id):
		s.t.Errorf("%+v was answered without a run, or with another answer", *call)
	}
}

// fail lets the connections between the nodes fail at random.
func (s *uploadSoak) fail(random *rand.Rand, d *dropper, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
		switch random.IntN(6) {
		case 0:
			d.drop()
		case 1, 2:
			d.cut()
		default:
			d.hold(time.Duration(random.Int64N(int64(2 * maxFaultPause))))
		}
	}
}

// TestUploadSoak guards against bodies that reach the upstream in part or mixed up,
// second runs, false outcomes and answers of other calls, while the connections between
// two nodes fail at random. UPLOAD_SEEDS sets the number of seeds.
func TestUploadSoak(t *testing.T) {
	seeds, _ := strconv.ParseUint(os.Getenv("UPLOAD_SEEDS"), 10, 64)
	for seed := range max(seeds, 2) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := &uploadSoak{t: t, calls: map[string]*soakCall{}}
			s.play(seed)
			results := map[string]int{}
			for _, call := range s.calls {
				s.check(call)
				results[call.result.outcome]++
				if call.runs == 0 && call.result.outcome == string(sycamorerun.Unknown) {
					results["unknown, no run"]++
				}
			}
			t.Logf("%d calls: %v", len(s.calls), results)
		})
	}
}

func (s *uploadSoak) play(seed uint64) {
	s.fx = newFixture(s.t, false, s.serve)
	checkResponses(s.fx)
	s.fx.entry.Contract.Identity = "X-Id"
	s.fx.maxRetries = 2
	s.fx.entry.Match = func(r *http.Request) (Match, bool) {
		match := s.fx.match
		match.Repeatable = r.Header.Get("X-Repeatable") == "true"
		return match, true
	}
	s.fx.entry.Observe = func(time.Time, Observation) {}
	d := s.fx.connectNodes(s.t)
	for len(s.fx.instances) < 3 {
		s.fx.instances = append(s.fx.instances, s.fx.instances[0])
	}
	end := time.Now().Add(soakTime)
	var callers sync.WaitGroup
	for caller := range uint64(soakCallers) {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, caller))
			for time.Now().Before(end) {
				s.send(s.newCall(random))
			}
		})
	}
	s.fail(rand.New(rand.NewPCG(seed, soakCallers)), d, end)
	callers.Wait()
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	is.New(s.t).NoErr(s.fx.upstreamNode.Drain(ctx)) // nothing runs after it
}
