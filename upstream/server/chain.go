package server

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

// Chain is the answer to a chain call, which passes through several upstreams.
type Chain struct {
	// Links counts the upstreams from here to the last one.
	Links int `json:"links"`
	// Deadline is the header Sycamorerun-Deadline at the last upstream, Attempt the
	// header Sycamorerun-Attempt there.
	Deadline string `json:"left"`
	Attempt  string `json:"attempt"`
}

// maxChainBytes bounds the size of the next upstream's answer.
const maxChainBytes = 4 << 10

// Caller sends the next call of a chain through the node beside the upstream.
type Caller struct {
	// Node is the node's address for callers.
	Node   netip.AddrPort
	client http.Client
}

// NewCaller returns a Caller that sends calls through node.
func NewCaller(node netip.AddrPort) *Caller {
	return &Caller{Node: node, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// forward sends the next call of a chain to the first of hosts, with the other
// ones in its path. The call is cancelled together with r and carries its attempt
// and its remaining deadline.
func (c *Caller) forward(r *http.Request, hosts string) (Chain, error) {
	var chain Chain
	host, remaining, _ := strings.Cut(hosts, "/")
	target := "http://" + c.Node.String() + "/chain/" + remaining + "?" + r.URL.RawQuery
	next, err := http.NewRequestWithContext(r.Context(), r.Method, target, nil)
	if err != nil {
		return chain, errors.Wrap(err, "next call")
	}
	next.Host = host
	if attempt := r.Header.Get(sycamorerun.HeaderAttempt); attempt != "" {
		next.Header.Set(sycamorerun.HeaderAttempt, attempt)
	}
	if deadline, ok := r.Context().Deadline(); ok {
		next.Header.Set(sycamorerun.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	response, err := c.client.Do(next)
	if err != nil {
		return chain, errors.Wrap(err, "next call")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxChainBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("next call: status %d", response.StatusCode)
	}
	if err == nil {
		err = json.Unmarshal(body, &chain)
	}
	return chain, errors.Wrap(err, "next call")
}

// chain forwards a chain call to the next upstream, or records a run if this is
// the last one. When the next call fails, it answers with status 502, or closes
// the connection if Behavior.PropagateFailure is set.
func (s *Server) chain(w http.ResponseWriter, r *http.Request) {
	hosts := r.PathValue("rest")
	if hosts == "" {
		s.Recorder.RecordRun(r.URL.Query().Get("key"))
		writeJSON(w, Chain{
			Links: 1, Deadline: r.Header.Get(sycamorerun.HeaderDeadline), Attempt: r.Header.Get(sycamorerun.HeaderAttempt),
		})
		return
	}
	if s.Caller == nil {
		http.Error(w, "no node for the next call", http.StatusNotImplemented)
		return
	}
	chain, err := s.Caller.forward(r, hosts)
	switch {
	case err == nil:
		chain.Links++
		writeJSON(w, chain)
	case r.Context().Err() != nil:
		s.Recorder.RecordCancelled()
		writeExpired(w)
	case s.Behavior().PropagateFailure:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
