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

// answerBytes bounds an answer. The largest is the whole tree, 4 MiB of items
// that are written as JSON strings.
const answerBytes = 16 << 20

// Node is the API of one node.
type Node struct {
	Server   string
	Settings *settings.Client
	Fleet    *fleet.Client
	// attempt is the last exchange with the node.
	attempt *attempt
}

func newNode(server *url.URL, client *http.Client) *Node {
	attempt := &attempt{client: client}
	s := settingsclient.NewClient(server.Scheme, server.Host, attempt, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	f := fleetclient.NewClient(server.Scheme, server.Host, attempt, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Node{
		Server: server.Host,
		Settings: settings.NewClient(
			s.Read(), s.Submit(), s.OutcomeEndpoint(), s.Check(), s.Proposals(), s.History(),
		),
		Fleet:   fleet.NewClient(f.Status(), f.Members(), f.Routes(), f.Convergence(), f.Explain()),
		attempt: attempt,
	}
}

// attempt performs requests and records what the generated client's errors
// don't tell: whether the request was sent and which status came back.
type attempt struct {
	client *http.Client

	mutex  sync.Mutex
	sent   bool
	status int
	err    error
}

// Do implements the generated client's Doer.
func (a *attempt) Do(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		a.set(func() { a.sent = true })
	}}
	response, err := a.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		a.set(func() { a.err = err })
		return nil, err
	}
	a.set(func() { a.status = response.StatusCode })
	response.Body = http.MaxBytesReader(nil, response.Body, answerBytes)
	return response, nil
}

// reset forgets the last exchange, because a request that can't be encoded
// does not reach Do.
func (a *attempt) reset() {
	a.set(func() { a.sent, a.status, a.err = false, 0, nil })
}

func (a *attempt) set(change func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change()
}

// kinds maps the names of the API's errors and the statuses of answers that
// have no such error.
var (
	kindsByName = map[string]Kind{
		"unauthorized": Unauthorized, "forbidden": Unauthorized, "invalid": Invalid,
		"missing": Missing, "unavailable": Unreachable,
	}
	kindsByStatus = map[int]Kind{
		http.StatusUnauthorized: Unauthorized, http.StatusForbidden: Unauthorized,
		http.StatusBadRequest: Invalid, http.StatusRequestEntityTooLarge: Invalid,
		http.StatusNotFound: Missing, http.StatusBadGateway: Unreachable,
		http.StatusServiceUnavailable: Unreachable, http.StatusGatewayTimeout: Unreachable,
	}
)

// failure classifies the error of the last exchange.
func (n *Node) failure(err error) *Failure {
	n.attempt.mutex.Lock()
	defer n.attempt.mutex.Unlock()
	failure := &Failure{Kind: Broken, Server: n.Server, Reason: err.Error(), Sent: n.attempt.sent}
	var ofSettings *settings.Problem
	var ofFleet *fleet.Problem
	switch {
	case errors.As(err, &ofSettings):
		failure.problem(ofSettings.Name, ofSettings.Code, ofSettings.Reason, ofSettings.Retry)
	case errors.As(err, &ofFleet):
		failure.problem(ofFleet.Name, ofFleet.Code, ofFleet.Reason, ofFleet.Retry)
	case n.attempt.err != nil:
		failure.Kind, failure.Reason = Unreachable, cause(n.attempt.err)
	case kindsByStatus[n.attempt.status] != "":
		failure.Kind = kindsByStatus[n.attempt.status]
	case n.attempt.status == http.StatusOK:
		// The connection may have broken within the answer.
		failure.Kind = Unreachable
	}
	return failure
}

func (f *Failure) problem(name, code, reason string, retry *int64) {
	f.Code, f.Reason = code, reason
	if kind, ok := kindsByName[name]; ok {
		f.Kind = kind
	}
	if retry != nil {
		f.Retry = time.Duration(*retry) * time.Millisecond
	}
}

// cause drops the method and URL that net/http puts before an error.
func cause(err error) string {
	var inURL *url.Error
	if errors.As(err, &inURL) {
		err = inURL.Err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return err.Error()
}
