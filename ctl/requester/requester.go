// Package requester is a client of the nodes' operators' API. It fails over to
// the next node when one does not respond.
package requester

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// Requester calls one of several nodes at a time.
type Requester struct {
	// Token authenticates the operator; no token is sent when it is empty.
	Token string
	// AttemptTimeout limits a single request to one node.
	AttemptTimeout time.Duration
	// PollInterval is the delay between repeated queries of the same state.
	PollInterval time.Duration

	nodes []*Node
	// current is the index of the node that requests go to.
	current int
}

// New returns a requester for servers, each given as "host:port" or as a URL.
func New(servers []string) (*Requester, error) {
	client := &http.Client{
		// Following a redirect would send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
	}
	r := &Requester{AttemptTimeout: 10 * time.Second, PollInterval: 200 * time.Millisecond}
	for _, server := range servers {
		address, err := parseServer(server)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, newNode(address, client))
	}
	if len(r.nodes) == 0 {
		return nil, pkgerrors.New("no server is given")
	}
	return r, nil
}

func parseServer(server string) (*url.URL, error) {
	text := server
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	address, err := url.Parse(text)
	if err != nil || address.Host == "" || address.User != nil || strings.Trim(address.Path, "/") != "" ||
		(address.Scheme != "http" && address.Scheme != "https") {
		return nil, pkgerrors.Errorf("server %q is not host:port or http(s)://host:port", server)
	}
	return address, nil
}

// Authorization returns the value of the Authorization header, which every
// payload carries as its token, or nil without a token.
func (r *Requester) Authorization() *string {
	if r.Token == "" {
		return nil
	}
	value := "Bearer " + r.Token
	return &value
}

// Read calls a read-only method on the nodes in turn, once each, until one
// responds.
func Read[T any](ctx context.Context, r *Requester, call func(context.Context, *Node) (T, error)) (T, error) {
	var zero T
	var failure *Failure
	for range r.nodes {
		result, err := callNode(ctx, r, call)
		if err == nil {
			return result, nil
		}
		if failure = err; failure.Kind != Unreachable || ctx.Err() != nil {
			break
		}
		r.selectNext()
	}
	return zero, failure
}

// callNode calls the current node once, within AttemptTimeout.
func callNode[T any](ctx context.Context, r *Requester, call func(context.Context, *Node) (T, error)) (T, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
	defer cancel()
	node := r.nodes[r.current]
	node.recorder.reset()
	result, err := call(ctx, node)
	if err != nil {
		return result, node.classify(err)
	}
	return result, nil
}

func (r *Requester) selectNext() {
	r.current = (r.current + 1) % len(r.nodes)
}

// sleep waits for the delay and reports whether ctx is still active.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// AsFailure returns the Failure in err's chain, or nil.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}
