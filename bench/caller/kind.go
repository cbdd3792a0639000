package caller

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Entry is a node that callers use.
type Entry struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Kind is a kind of requests.
type Kind struct {
	Name string
	// Rate is in requests per second over all entries.
	Rate float64
	// Zones limit the entries; empty: all.
	Zones []string
	// Method is POST if empty. Path has a prefix of the route; the stand-in
	// upstream takes the rest from the query.
	Method, Host, Path string
	// Work is the time for which the upstream runs the request.
	Work time.Duration
	// Body and Response are the bytes of the bodies; a body has at least the
	// request's id. Chunked sends the body without its length.
	Body, Response int
	Chunked        bool
	// Objective is the response time that the kind aims at.
	Objective time.Duration
	// Deadline is sent in the product's header, unless it is zero.
	Deadline time.Duration
	// Timeout is that of the route.
	Timeout time.Duration
	// Retries is the number of attempts after the first one. Once says that the
	// request must not run twice: it is tried again only after "not run".
	Retries    int
	AtMostOnce bool
	// Key sends the request's id as idempotency key and as the id of all its
	// attempts, so that a request with Once may be tried again in any case.
	Key bool
	// RotateNodes sends each retry to the next node of the kind.
	RotateNodes bool
	// ImmediateRetryShare is the share of requests whose retries ignore Retry-After, DisconnectShare
	// the share whose caller disconnects before its deadline.
	ImmediateRetryShare, DisconnectShare float64
	// Marker says that the route's timeout is the Marker of a version.
	Marker bool
}

// Burst multiplies the rate of a kind for a span.
type Burst struct {
	// Kind is empty for all kinds.
	Kind    string
	At, For time.Duration
	Factor  float64
}

// limit is the time after which the caller of an attempt must be answered.
func (k Kind) limit() time.Duration {
	switch {
	case k.Marker:
		return 0
	case k.Deadline > 0 && (k.Timeout == 0 || k.Deadline < k.Timeout):
		return k.Deadline
	}
	return k.Timeout
}

// method returns the method of the requests.
func (k Kind) method() string {
	if k.Method == "" {
		return http.MethodPost
	}
	return k.Method
}

// target returns the path and query of an attempt.
func (k Kind) target(bytes int) string {
	return fmt.Sprintf("%s/run?for=%s&size=%d&bytes=%d", strings.TrimSuffix(k.Path, "/"), k.Work, k.Response, bytes)
}

// verify reports the first fault of the callers' description.
func (c *Generator) verify() error {
	if strings.ContainsAny(c.Name, " \n") {
		return errors.Errorf("name %q of the callers has spaces", c.Name)
	}
	if len(c.Entries) == 0 {
		return errors.New("callers have no entry")
	}
	names := map[string]bool{}
	for _, kind := range c.Kinds {
		switch {
		case kind.Name == "" || names[kind.Name] || strings.ContainsAny(kind.Name, " \n"):
			return errors.Errorf("kind %q: the name must be unique and without spaces", kind.Name)
		case kind.Rate <= 0 || kind.Retries < 0 || kind.Body < 0 || kind.Response < 0:
			return errors.Errorf("kind %s: the rate must be positive, the other numbers not negative", kind.Name)
		case kind.ImmediateRetryShare < 0 || kind.ImmediateRetryShare > 1 || kind.DisconnectShare < 0 || kind.DisconnectShare > 1:
			return errors.Errorf("kind %s: shares must be 0 to 1", kind.Name)
		case len(c.entries(kind)) == 0:
			return errors.Errorf("kind %s: no entry in its zones", kind.Name)
		}
		names[kind.Name] = true
	}
	for i, burst := range c.Bursts {
		if burst.Factor < 0 || burst.At < 0 || burst.For < 0 || burst.Kind != "" && !names[burst.Kind] {
			return errors.Errorf("burst %d: a known kind and numbers that are not negative are needed", i)
		}
	}
	return nil
}
