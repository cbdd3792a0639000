package requester

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	goahttp "goa.design/goa/v3/http"

	"sycamorerun/api/gen/fleet"
	fleetclient "sycamorerun/api/gen/http/fleet/client"
	settingsclient "sycamorerun/api/gen/http/settings/client"
	"sycamorerun/api/gen/settings"
)

// maxResponseBytes limits a response body. The largest response is the whole
// tree: 4 MiB of items, which grow when they are encoded as JSON strings.
const maxResponseBytes = 16 << 20

// Node is a client of one node's API.
type Node struct {
	Server   string
	Settings *settings.Client
	Fleet    *fleet.Client
	// recorder holds what is known about the last exchange with the node.
	recorder *exchangeRecorder
}

func newNode(server *url.URL, client *http.Client) *Node {
	recorder := &exchangeRecorder{client: client}
	s := settingsclient.NewClient(server.Scheme, server.Host, recorder, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	f := fleetclient.NewClient(server.Scheme, server.Host, recorder, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Node{
		Server: server.Host,
		Settings: settings.NewClient(
			s.Read(), s.Submit(), s.OutcomeEndpoint(), s.Check(), s.Proposals(), s.History(),
		),
		Fleet:    fleet.NewClient(f.Status(), f.Members(), f.Routes(), f.Accounts(), f.Convergence(), f.Explain()),
		recorder: recorder,
	}
}

// exchangeRecorder performs requests and records what the generated client's
// errors do not report: whether the request may have been sent, the response's
// status and the transport error.
type exchangeRecorder struct {
	client *http.Client

	mutex  sync.Mutex
	sent   bool
	status int
	err    error
}

// Do implements goahttp.Doer, which the generated clients call.
func (r *exchangeRecorder) Do(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		r.update(func() { r.sent = true })
	}}
	response, err := r.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		r.update(func() { r.err = err })
		return nil, err
	}
	r.update(func() { r.status = response.StatusCode })
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	return response, nil
}

// reset clears the record of the last exchange. Do can't clear it, because a
// request that fails to encode never reaches Do.
func (r *exchangeRecorder) reset() {
	r.update(func() { r.sent, r.status, r.err = false, 0, nil })
}

func (r *exchangeRecorder) update(apply func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	apply()
}

// A response is classified by the name of its API error or, when it has none,
// by its HTTP status.
var (
	kindByErrorName = map[string]Kind{
		"unauthorized": Unauthorized, "forbidden": Unauthorized, "invalid": Invalid,
		"missing": NotFound, "unavailable": Unreachable,
	}
	kindByHTTPStatus = map[int]Kind{
		http.StatusUnauthorized: Unauthorized, http.StatusForbidden: Unauthorized,
		http.StatusBadRequest: Invalid, http.StatusRequestEntityTooLarge: Invalid,
		http.StatusNotFound: NotFound, http.StatusBadGateway: Unreachable,
		http.StatusServiceUnavailable: Unreachable, http.StatusGatewayTimeout: Unreachable,
	}
)

// classify converts the error of the last exchange to a Failure.
func (n *Node) classify(err error) *Failure {
	n.recorder.mutex.Lock()
	defer n.recorder.mutex.Unlock()
	failure := &Failure{Kind: InvalidResponse, Server: n.Server, Reason: err.Error(), Sent: n.recorder.sent}
	var settingsProblem *settings.Problem
	var fleetProblem *fleet.Problem
	switch {
	case errors.As(err, &settingsProblem):
		failure.setProblem(settingsProblem.Name, settingsProblem.Code, settingsProblem.Reason, settingsProblem.Retry)
	case errors.As(err, &fleetProblem):
		failure.setProblem(fleetProblem.Name, fleetProblem.Code, fleetProblem.Reason, fleetProblem.Retry)
	case n.recorder.err != nil:
		failure.Kind, failure.Reason = Unreachable, trimURLError(n.recorder.err)
	case kindByHTTPStatus[n.recorder.status] != "":
		failure.Kind = kindByHTTPStatus[n.recorder.status]
	case n.recorder.status == http.StatusOK:
		// The connection may have been lost within the response body.
		failure.Kind = Unreachable
	}
	return failure
}

// setProblem copies the details of an API error into the failure.
func (f *Failure) setProblem(name, code, reason string, retry *int64) {
	f.Code, f.Reason = code, reason
	if kind, ok := kindByErrorName[name]; ok {
		f.Kind = kind
	}
	if retry != nil {
		f.RetryAfter = time.Duration(*retry) * time.Millisecond
	}
}

// trimURLError returns the text of err without the method and URL that net/http
// prepends.
func trimURLError(err error) string {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return err.Error()
}
