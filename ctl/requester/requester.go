// Package requester calls the operators' API of the nodes and moves to the
// next node when one does not answer.
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

// Requester calls one of several nodes.
type Requester struct {
	// Token authenticates the operator; empty sends none.
	Token string
	// Attempt bounds one exchange with one node.
	Attempt time.Duration
	// Interval is the pause between two queries of the same state.
	Interval time.Duration

	nodes []*Node
	// current is the node that answered last.
	current int
}

// New returns a requester for servers, given as "host:port" or URL.
func New(servers []string) (*Requester, error) {
	client := &http.Client{
		// A redirect would send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
	}
	r := &Requester{Attempt: 10 * time.Second, Interval: 200 * time.Millisecond}
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

// Authorization returns the value of the token attribute of every payload.
func (r *Requester) Authorization() *string {
	if r.Token == "" {
		return nil
	}
	value := "Bearer " + r.Token
	return &value
}

// Read calls a method that changes nothing, at each node once until one
// answers.
func Read[T any](ctx context.Context, r *Requester, do func(context.Context, *Node) (T, error)) (T, error) {
	var none T
	var failure *Failure
	for range r.nodes {
		answer, err := exchange(ctx, r, do)
		if err == nil {
			return answer, nil
		}
		if failure = err; failure.Kind != Unreachable || ctx.Err() != nil {
			break
		}
		r.next()
	}
	return none, failure
}

// exchange calls the current node once.
func exchange[T any](ctx context.Context, r *Requester, do func(context.Context, *Node) (T, error)) (T, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, r.Attempt)
	defer cancel()
	node := r.nodes[r.current]
	node.attempt.reset()
	answer, err := do(ctx, node)
	if err != nil {
		return answer, node.failure(err)
	}
	return answer, nil
}

func (r *Requester) next() {
	r.current = (r.current + 1) % len(r.nodes)
}

// sleep waits for the duration and reports whether ctx still holds.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// AsFailure returns the failure in err, or nil.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return nil
}
