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

// Chain is the answer to a call of a chain.
type Chain struct {
	// Links counts the upstreams from here to the last one.
	Links int `json:"links"`
	// Deadline is the header Sycamorerun-Deadline at the last upstream, Attempt the
	// header Sycamorerun-Attempt there.
	Deadline string `json:"left"`
	Attempt  string `json:"attempt"`
}

// chainBytes bounds the answer of the next upstream.
const chainBytes = 4 << 10

// Caller makes the next call of a chain through the node beside the upstream.
type Caller struct {
	// Node is the node's address for callers.
	Node   netip.AddrPort
	client http.Client
}

// NewCaller returns a Caller through node.
func NewCaller(node netip.AddrPort) *Caller {
	return &Caller{Node: node, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call calls the first host of rest, which gets the other ones as its own
// rest. The request ends with r, and passes on its attempt and its deadline.
func (c *Caller) call(r *http.Request, rest string) (Chain, error) {
	var chain Chain
	host, others, _ := strings.Cut(rest, "/")
	target := "http://" + c.Node.String() + "/chain/" + others + "?" + r.URL.RawQuery
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
	body, err := io.ReadAll(io.LimitReader(response.Body, chainBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("next call: status %d", response.StatusCode)
	}
	if err == nil {
		err = json.Unmarshal(body, &chain)
	}
	return chain, errors.Wrap(err, "next call")
}

// chain makes the next call, or counts an execution at the last upstream. When
// the next call fails it answers with status 502, or breaks its connection if
// the behavior says so.
func (s *Server) chain(w http.ResponseWriter, r *http.Request) {
	rest := r.PathValue("rest")
	if rest == "" {
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
	chain, err := s.Caller.call(r, rest)
	switch {
	case err == nil:
		chain.Links++
		writeJSON(w, chain)
	case r.Context().Err() != nil:
		s.Recorder.Cancel()
		expired(w)
	case s.Behavior().Spread:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
