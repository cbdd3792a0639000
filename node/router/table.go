// Package router compiles the settings tree to an immutable routing table, matches
// requests against the table and explains the choice of a route.
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
	"sycamorerun/node/identifier"
)

// anyHost is the index key of routes without hosts.
const anyHost = "*"

// Table maps requests to services. It is immutable.
type Table struct {
	version  sycamorerun.Version
	services map[string]sycamorerun.Service
	// hosts is keyed by host name, "*.suffix" or anyHost.
	hosts map[string]*hostRoutes
	// routes is sorted by path.
	routes []*route
	// decoded holds the decoded items for reuse by Recompile.
	decoded map[sycamorerun.Path]decodedItem
	limits  sycamorerun.Limits
	// keys maps the hashes of keys to accounts. hasAccounts says that there are
	// any, so that requests need a key.
	keys        *identifier.Index
	hasAccounts bool
}

// hostRoutes holds the routes of one host by prefix. The routes of a prefix are sorted
// by specificity, the most specific one first.
type hostRoutes struct {
	prefixes map[string][]*route
}

type route struct {
	path        sycamorerun.Path
	prefix      string
	methods     []string
	headers     []header
	class       sycamorerun.Class
	repeat      string
	split       []splitTarget
	totalWeight uint64

	timeout   time.Duration
	objective time.Duration
	attempts  int
	rank      int
	public    bool
}

type header struct{ name, value string }

// splitTarget is a service in a split. It gets the draws that are below its cumulative
// weight but not below that of the previous target.
type splitTarget struct {
	service          string
	settings         sycamorerun.Service
	cumulativeWeight uint64
}

// Request holds the properties of a call that are matched against routes.
type Request struct {
	Method string
	// Host may carry a port.
	Host   string
	Path   string
	Header http.Header
	// Key is the hash of the caller's key, or nil if the request has none.
	Key *identifier.Hash
	// Random is a uniformly distributed number that selects a service of the split.
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
	// Timeout bounds the whole call. It is set by the route or else by the service.
	Timeout time.Duration
	// Attempts is the maximum number of upstreams that the call is sent to; zero
	// means the default of the node.
	Attempts int
	// Objective is the latency within which a response has its full value; zero
	// means none.
	Objective time.Duration
	// Rank is the priority of the call in a queue; 1 is the most urgent. It is set
	// by the account or else by the route.
	Rank int
	// Access says whether the request may use the route, and Account which client
	// account it belongs to. Account is zero unless Access is AccessGranted.
	Access  Access
	Account identifier.Account
}

// Version returns the version of the tree that the table was compiled from.
func (t *Table) Version() sycamorerun.Version { return t.version }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// Limits returns the limits for callers. For fields that are zero, the limits of the
// node apply.
func (t *Table) Limits() sycamorerun.Limits { return t.limits }

// Service returns the settings of the named service.
func (t *Table) Service(name string) (sycamorerun.Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Match returns the most specific route that matches the request. An exact host ranks
// before a suffix, a longer suffix before a shorter one and any suffix before a route
// without hosts. Ties are broken by the longest prefix, then by the number of headers,
// then by whether the route has methods.
func (t *Table) Match(request Request) (Match, bool) {
	target := cleanPath(request.Path)
	for key := range hostKeys(request.Host) {
		group, ok := t.hosts[key]
		if !ok {
			continue
		}
		for prefix := range pathPrefixes(target) {
			for _, route := range group.prefixes[prefix] {
				if route.matches(request) {
					return t.match(route, request), true
				}
			}
		}
	}
	return Match{}, false
}

func (t *Table) match(route *route, request Request) Match {
	target := route.draw(request.Random)
	access, account := t.access(route, request.Key)
	return Match{
		Version:    t.version,
		Route:      route.path,
		Service:    target.service,
		Settings:   target.settings,
		Class:      route.class,
		Repeatable: route.repeatable(request.Method),
		Timeout:    cmp.Or(route.timeout, time.Duration(target.settings.Timeout)),
		Attempts:   route.attempts,
		Objective:  route.objective,
		Rank:       cmp.Or(account.Rank, route.rank),
		Access:     access,
		Account:    account,
	}
}

func (t *Table) add(host string, added *route) {
	if t.hosts[host] == nil {
		t.hosts[host] = &hostRoutes{prefixes: map[string][]*route{}}
	}
	t.hosts[host].prefixes[added.prefix] = append(t.hosts[host].prefixes[added.prefix], added)
}

// draw selects a target of the split by weight.
func (r *route) draw(random uint64) splitTarget {
	draw := random % r.totalWeight
	for _, target := range r.split {
		if draw < target.cumulativeWeight {
			return target
		}
	}
	panic("router: no split target for a draw below the total weight")
}

func (r *route) matches(request Request) bool {
	return r.matchesMethod(request.Method) && r.missingHeader(request.Header) == nil
}

func (r *route) matchesMethod(method string) bool {
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

// repeatable reports whether a call may run more than once. By default this holds for
// the idempotent methods of RFC 9110.
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

// hostKeys yields the index keys that match host, the most specific first.
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

// pathPrefixes yields target and its parents on segment boundaries, with and without a
// trailing slash, the longest first and the empty prefix last.
func pathPrefixes(target string) func(yield func(string) bool) {
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

// hasPathPrefix reports whether pathPrefixes(target) yields prefix.
func hasPathPrefix(prefix, target string) bool {
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

// cleanPath resolves dot and empty segments, so that a path such as /quotes/../admin
// does not match the prefix /quotes. It keeps a trailing slash and returns the empty
// string for the root.
func cleanPath(target string) string {
	if target == "" || target == "/" || target[0] != '/' {
		return ""
	}
	if strings.Contains(target, "//") || strings.Contains(target, "/.") {
		trailingSlash := strings.HasSuffix(target, "/")
		if target = path.Clean(target); target == "/" {
			return ""
		}
		if trailingSlash {
			target += "/"
		}
	}
	return target
}
