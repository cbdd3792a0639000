// Package router compiles the settings tree to an immutable routing table,
// matches requests against it and explains the choice.
package router

import (
	"cmp"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"sycamorerun"
)

// anyHost is the index key of routes without hosts.
const anyHost = "*"

// Table maps requests to services. It is immutable.
type Table struct {
	version  sycamorerun.Version
	services map[string]sycamorerun.Service
	// hosts is keyed by host name, "*.suffix" or anyHost.
	hosts map[string]*group
	// routes are in the order of their paths.
	routes []*route
	// decoded is what Recompile takes over.
	decoded map[sycamorerun.Path]decoded
	limits  sycamorerun.Limits
}

// group holds the routes of one host by prefix, the most specific first.
type group struct {
	prefixes map[string][]*route
}

type route struct {
	path    sycamorerun.Path
	prefix  string
	methods []string
	headers []header
	class   sycamorerun.Class
	repeat  string
	split   []share
	total   uint64

	timeout   time.Duration
	objective time.Duration
	attempts  int
	rank      int
}

type header struct{ name, value string }

// share is a service's part of a split: the draws below bound that are not
// below the bound of the share before it.
type share struct {
	service  string
	settings sycamorerun.Service
	bound    uint64
}

// Request holds the properties of a call that routes are compared with.
type Request struct {
	Method string
	// Host may carry a port.
	Host   string
	Path   string
	Header http.Header
	// Random selects among the services of a split; it is uniform.
	Random uint64
}

// Match is the route chosen for a request and the service drawn from it.
type Match struct {
	Version    sycamorerun.Version
	Route      sycamorerun.Path
	Service    string
	Settings   sycamorerun.Service
	Class      sycamorerun.Class
	Repeatable bool
	// Timeout bounds the whole call: the route's, or else the service's.
	Timeout time.Duration
	// Attempts bounds the upstreams that the call is sent to; zero means the
	// node's default.
	Attempts int
	// Objective is the latency within which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Rank orders the calls of a queue, 1 first.
	Rank int
}

// Version returns the version of the tree that the table was compiled from.
func (t *Table) Version() sycamorerun.Version { return t.version }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// Limits returns the limits for callers; zero fields are the node's own.
func (t *Table) Limits() sycamorerun.Limits { return t.limits }

// Service returns the settings of the service with name.
func (t *Table) Service(name string) (sycamorerun.Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match returns the most specific route that fits the request. An exact host
// ranks before a suffix, a longer suffix before a shorter one and any suffix
// before no host at all; then the longest prefix decides, then the number of
// headers, then whether methods are named.
func (t *Table) Match(request Request) (Match, bool) {
	target := cleanPath(request.Path)
	for key := range hostKeys(request.Host) {
		group, ok := t.hosts[key]
		if !ok {
			continue
		}
		for prefix := range prefixes(target) {
			for _, route := range group.prefixes[prefix] {
				if route.fits(request) {
					return t.match(route, request), true
				}
			}
		}
	}
	return Match{}, false
}

func (t *Table) match(route *route, request Request) Match {
	share := route.draw(request.Random)
	return Match{
		Version:    t.version,
		Route:      route.path,
		Service:    share.service,
		Settings:   share.settings,
		Class:      route.class,
		Repeatable: route.repeatable(request.Method),
		Timeout:    cmp.Or(route.timeout, time.Duration(share.settings.Timeout)),
		Attempts:   route.attempts,
		Objective:  route.objective,
		Rank:       route.rank,
	}
}

func (t *Table) add(host string, added *route) {
	if t.hosts[host] == nil {
		t.hosts[host] = &group{prefixes: map[string][]*route{}}
	}
	t.hosts[host].prefixes[added.prefix] = append(t.hosts[host].prefixes[added.prefix], added)
}

func (r *route) draw(random uint64) share {
	draw := random % r.total
	for _, share := range r.split {
		if draw < share.bound {
			return share
		}
	}
	panic("router: a draw below the total has a share")
}

func (r *route) fits(request Request) bool {
	return r.fitsMethod(request.Method) && r.missingHeader(request.Header) == nil
}

func (r *route) fitsMethod(method string) bool {
	return len(r.methods) == 0 || slices.Contains(r.methods, method)
}

// missingHeader returns the first header that the request lacks, or nil.
func (r *route) missingHeader(headers http.Header) *header {
	for i, header := range r.headers {
		if !slices.Contains(headers[header.name], header.value) {
			return &r.headers[i]
		}
	}
	return nil
}

// repeatable applies the setting, or else the idempotent methods of RFC 9110.
func (r *route) repeatable(method string) bool {
	switch r.repeat {
	case sycamorerun.RepeatAlways:
		return true
	case sycamorerun.RepeatNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hostKeys yields the index keys that fit host, the most specific first.
func hostKeys(host string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		name := cleanHost(host)
		if !yield(name) {
			return
		}
		for {
			_, rest, ok := strings.Cut(name, ".")
			if !ok || rest == "" {
				break
			}
			if !yield("*." + rest) {
				return
			}
			name = rest
		}
		yield(anyHost)
	}
}

// prefixes yields target and its parents on segment boundaries, with and
// without their final slash, the longest first and the empty prefix last.
func prefixes(target string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for yield(target) && target != "" {
			if parent, ok := strings.CutSuffix(target, "/"); ok {
				target = parent
			} else {
				target = target[:strings.LastIndexByte(target, '/')+1]
			}
		}
	}
}

// covers reports whether prefixes(target) has prefix.
func covers(prefix, target string) bool {
	rest, ok := strings.CutPrefix(target, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func cleanHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// cleanPath resolves dot and empty segments, so that a path such as
// /quotes/../admin is not matched as one below /quotes. A final slash stays. The
// root is the empty string.
func cleanPath(target string) string {
	if target == "" || target == "/" || target[0] != '/' {
		return ""
	}
	if strings.Contains(target, "//") || strings.Contains(target, "/.") {
		final := strings.HasSuffix(target, "/")
		if target = path.Clean(target); target == "/" {
			return ""
		}
		if final {
			target += "/"
		}
	}
	return target
}
