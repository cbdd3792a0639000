package caller

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Entry is a node to which callers send requests.
type Entry struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Kind describes requests with the same properties.
type Kind struct {
	Name string
	// Rate is in requests per second over all entries.
	Rate float64
	// Zones limits the entries to those in the zones; if empty, all are used.
	Zones []string
	// Method defaults to POST. Path is a prefix of the route; the query tells the
	// stand-in upstream how to run the request.
	Method, Host, Path string
	// Work is the execution time at the upstream.
	Work time.Duration
	// Body and Response are the sizes of the bodies in bytes; a request body has at
	// least the id. Chunked sends the request without Content-Length.
	Body, Response int
	Chunked        bool
	// Objective is the target response time.
	Objective time.Duration
	// Deadline is sent in the deadline header unless it is zero.
	Deadline time.Duration
	// Timeout is the timeout of the route.
	Timeout time.Duration
	// Retries is the number of attempts after the first one. AtMostOnce marks
	// requests that must not run twice; they are retried only after "not run".
	Retries    int
	AtMostOnce bool
	// Key sends the request's id as the idempotency key and uses it as the id of all
	// attempts, so that an AtMostOnce request may be retried after any result.
	Key bool
	// RotateNodes sends each retry to the next node of the kind.
	RotateNodes bool
	// ImmediateRetryShare is the share of requests whose retries ignore Retry-After,
	// DisconnectShare the share whose caller disconnects before its deadline.
	ImmediateRetryShare, DisconnectShare float64
	// Marker says that the timeout of the route is a MarkerTimeout, so that responses
	// show the version of the settings.
	Marker bool
}

// Burst multiplies the rate of a kind for a limited time.
type Burst struct {
	// Kind is the name of a kind; if empty, the burst applies to all kinds.
	Kind    string
	At, For time.Duration
	Factor  float64
}

// limit returns the time within which an attempt must get a response, or 0 if
// there is no limit.
func (k Kind) limit() time.Duration {
	switch {
	case k.Marker:
		return 0
	case k.Deadline > 0 && (k.Timeout == 0 || k.Deadline < k.Timeout):
		return k.Deadline
	}
	return k.Timeout
}

// method returns the HTTP method of the requests.
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

// verify returns an error for the first invalid field of c.
func (c *Generator) verify() error {
	if strings.ContainsAny(c.Name, " \n") {
		return errors.Errorf("generator name %q contains a space or newline", c.Name)
	}
	if len(c.Entries) == 0 {
		return errors.New("generator has no entries")
	}
	names := map[string]bool{}
	for _, kind := range c.Kinds {
		switch {
		case kind.Name == "" || names[kind.Name] || strings.ContainsAny(kind.Name, " \n"):
			return errors.Errorf("kind %q: the name must be non-empty, unique and without spaces", kind.Name)
		case kind.Rate <= 0 || kind.Retries < 0 || kind.Body < 0 || kind.Response < 0:
			return errors.Errorf("kind %s: the rate must be positive and the other numbers must not be negative", kind.Name)
		case kind.ImmediateRetryShare < 0 || kind.ImmediateRetryShare > 1 || kind.DisconnectShare < 0 || kind.DisconnectShare > 1:
			return errors.Errorf("kind %s: shares must be between 0 and 1", kind.Name)
		case len(c.entries(kind)) == 0:
			return errors.Errorf("kind %s: no entry is in the zones of the kind", kind.Name)
		}
		names[kind.Name] = true
	}
	for i, burst := range c.Bursts {
		if burst.Factor < 0 || burst.At < 0 || burst.For < 0 || burst.Kind != "" && !names[burst.Kind] {
			return errors.Errorf("burst %d: the kind must exist and the numbers must not be negative", i)
		}
	}
	return nil
}
