package commander_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"sycamorerun/api/gen/fleet"
	fleetserver "sycamorerun/api/gen/http/fleet/server"
	settingsserver "sycamorerun/api/gen/http/settings/server"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/commander"
)

// operatorToken is the token that fake accepts. No output may contain it.
const operatorToken = "0123456789abcdef0123456789abcdef"

// fake implements both services of the operators' API. Its function fields
// override the default responses.
type fake struct {
	mutex sync.Mutex
	// submitted and queried record the submitted changes and the ids whose outcome
	// was queried.
	submitted []*settings.SubmitPayload
	queried   []string

	submit      func(*settings.SubmitPayload) (*settings.Outcome, error)
	outcome     func(id string) (*settings.Outcome, error)
	check       func(*settings.CheckPayload) (*settings.CheckResult, error)
	convergence func() *fleet.ConvergenceResult
	// explained is the payload of the last explain request.
	explained *fleet.ExplainPayload
	// intercept runs before each request. It returns false when it has handled the
	// request itself.
	intercept func(http.ResponseWriter, *http.Request) bool
}

func pointer[T any](value T) *T { return &value }

func (f *fake) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if key != operatorToken {
		return nil, problem("unauthorized")
	}
	return ctx, nil
}

// fleetFake returns errors of the fleet service: the generated server
// dereferences a nil pointer when it gets an error of another service.
type fleetFake struct{ *fake }

func (f fleetFake) APIKeyAuth(ctx context.Context, key string, scheme *security.APIKeyScheme) (context.Context, error) {
	ctx, err := f.fake.APIKeyAuth(ctx, key, scheme)
	if err != nil {
		return nil, &fleet.Problem{Name: "unauthorized", Code: "unknown-token", Reason: "reason"}
	}
	return ctx, nil
}

func problem(name string) *settings.Problem {
	return &settings.Problem{Name: name, Code: "code-of-" + name, Reason: "reason"}
}

func (f *fake) Read(context.Context, *settings.ReadPayload) (*settings.ReadResult, error) {
	return &settings.ReadResult{Version: 7, Hash: "00", Items: []*settings.Record{
		{Path: "quoting/service/quote-desk", Item: serviceItem},
		{Path: "quoting/hold", Item: `{"operator":"ann","reason":"x","since":"2026-01-02T03:04:05Z"}`},
	}}, nil
}

func (f *fake) Submit(_ context.Context, payload *settings.SubmitPayload) (*settings.Outcome, error) {
	f.mutex.Lock()
	f.submitted = append(f.submitted, payload)
	f.mutex.Unlock()
	if f.submit != nil {
		return f.submit(payload)
	}
	return &settings.Outcome{ID: payload.ID, Status: "accepted", Version: pointer(uint64(8))}, nil
}

func (f *fake) OutcomeEndpoint(_ context.Context, payload *settings.OutcomePayload) (*settings.Outcome, error) {
	f.mutex.Lock()
	f.queried = append(f.queried, payload.ID)
	f.mutex.Unlock()
	if f.outcome != nil {
		return f.outcome(payload.ID)
	}
	return &settings.Outcome{ID: payload.ID, Status: "accepted", Version: pointer(uint64(8))}, nil
}

func (f *fake) Check(_ context.Context, payload *settings.CheckPayload) (*settings.CheckResult, error) {
	if f.check != nil {
		return f.check(payload)
	}
	return &settings.CheckResult{Version: 7, Differences: []*settings.Difference{{
		Path: "quoting/service/quote-desk", Before: pointer(strings.Replace(serviceItem, "6", "5", 1)), After: pointer(serviceItem),
	}}}, nil
}

func (f *fake) Proposals(context.Context, *settings.ProposalsPayload) ([]*settings.Proposal, error) {
	return []*settings.Proposal{{
		ID: proposal, Team: "quoting", Operator: "ann\x1b[2J", Content: "c0ffee", Time: "2026-01-02T03:04:05Z",
		Differences: []*settings.Difference{{Path: "quoting/service/gone", Before: pointer(serviceItem)}},
	}}, nil
}

func (f *fake) History(context.Context, *settings.HistoryPayload) ([]*settings.Accepted, error) {
	return []*settings.Accepted{{
		Version: 1<<63 + 1, ID: proposal, Team: "quoting", Operator: "ann", Kind: "apply", Time: "2026-01-02T03:04:05Z",
	}}, nil
}

func (f *fake) Status(context.Context, *fleet.StatusPayload) (*fleet.StatusResult, error) {
	return &fleet.StatusResult{Name: "node-1", Zone: "a", Region: "north", Phase: "ready", Version: 7, Unserved: pointer(2)}, nil
}

func (f *fake) Members(context.Context, *fleet.MembersPayload) ([]*fleet.Member, error) {
	return []*fleet.Member{{Name: "node-1", Zone: "a", Region: "north", Address: "127.0.0.1:1", State: "ready"}}, nil
}

var partialRoute = &fleet.RouteState{Route: "quoting/route/quotes", State: "partial", Targets: []*fleet.Target{
	{Service: "quote-desk", Share: 0.75, Upstreams: 3}, {Service: "gone", Share: 0.25},
}}

func (f *fake) Routes(context.Context, *fleet.RoutesPayload) ([]*fleet.RouteState, error) {
	return []*fleet.RouteState{partialRoute, {Route: "quoting/route/fine", State: "served", Targets: []*fleet.Target{}}}, nil
}

func (f *fake) Accounts(context.Context, *fleet.AccountsPayload) ([]*fleet.Account, error) {
	return []*fleet.Account{{Name: "clerk"}, {Name: "notary", Label: pointer("Notary"), Rank: pointer(2), Rate: pointer(0.5), Burst: pointer(10.0), Keys: 3}}, nil
}

func (f *fake) Convergence(context.Context, *fleet.ConvergencePayload) (*fleet.ConvergenceResult, error) {
	if f.convergence != nil {
		return f.convergence(), nil
	}
	return convergedAt(8), nil
}

func convergedAt(version uint64) *fleet.ConvergenceResult {
	return &fleet.ConvergenceResult{Newest: version, Nodes: 2, Tallies: []*fleet.Tally{{Version: version, Nodes: 2}}}
}

func (f *fake) Explain(_ context.Context, payload *fleet.ExplainPayload) (*fleet.ExplainResult, error) {
	f.explained = payload
	return &fleet.ExplainResult{Version: 7, Route: "quoting/route/quotes", Steps: []string{"host equal"}, State: partialRoute}, nil
}

// serve starts the generated server and returns its address.
func (f *fake) serve(t *testing.T) string {
	t.Helper()
	mux := goahttp.NewMuxer()
	settingsserver.New(settings.NewEndpoints(f), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil).Mount(mux)
	fleetserver.New(fleet.NewEndpoints(fleetFake{f}), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil).Mount(mux)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.intercept == nil || f.intercept(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// result is the exit code and the output of a command.
type result struct {
	code     int
	out, err string
}

var fixedNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// execute runs a command with the token in the environment and checks that
// the token is in no output.
func execute(t *testing.T, environment map[string]string, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	c := &commander.Commander{
		In: strings.NewReader(settingsFile), Out: &out, Err: &errs, Terminal: environment["terminal"] != "",
		Getenv: func(name string) string {
			if value, ok := environment[name]; ok || name != "SYCAMORERUN_TOKEN" {
				return value
			}
			return operatorToken
		},
		Now:          func() time.Time { return fixedNow },
		PollInterval: time.Millisecond,
	}
	code := c.Execute(context.Background(), args)
	if strings.Contains(out.String()+errs.String(), operatorToken) {
		t.Errorf("srctl %v printed the token", args)
	}
	return result{code, out.String(), errs.String()}
}
