package router

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sycamorerun"
)

// maxSteps bounds the steps of an explanation, since a host may have thousands of
// routes.
const maxSteps = 64

// Explanation lists the routes that a request was compared with, in the order of
// preference, and why each matches or does not.
type Explanation struct {
	Match Match
	Found bool
	Steps []Step
	// Omitted is the number of routes of the request's host that are left out of
	// Steps.
	Omitted int
	// OtherHosts is the number of routes for other hosts only.
	OtherHosts int
}

// Attributes describes in one line how calls of the chosen route are handled.
func (e Explanation) Attributes() string {
	text := fmt.Sprintf("rank %d, timeout %s", e.Match.Rank, e.Match.Timeout)
	if e.Match.Objective > 0 {
		text += fmt.Sprintf(", objective %s", e.Match.Objective)
	}
	if e.Match.Attempts > 0 {
		text += fmt.Sprintf(", at most %d attempts", e.Match.Attempts)
	}
	switch e.Match.Access {
	case AccessPublic:
		text += ", public"
	case AccessDenied:
		text += ", needs a key"
	}
	return text
}

// Step is the result of comparing a request with one route.
type Step struct {
	Route sycamorerun.Path
	// Host is the host of the route that matches the request's host.
	Host string
	// Matched says that the route is the chosen one.
	Matched bool
	Reason  string
}

// String formats the step as one line.
func (s Step) String() string {
	return fmt.Sprintf("%s (host %s): %s", s.Route, s.Host, s.Reason)
}

// Explain returns the choice of Match for the request and the reasons. Routes of the
// host whose prefix does not match follow the routes that were compared in full.
func (t *Table) Explain(request Request) Explanation {
	result := Explanation{}
	result.Match, result.Found = t.Match(request)
	target := cleanPath(request.Path)
	compared := map[sycamorerun.Path]bool{}
	var full, others []Step
	chosen := false
	for key := range hostKeys(request.Host) {
		group, ok := t.hosts[key]
		if !ok {
			continue
		}
		for prefix := range pathPrefixes(target) {
			for _, route := range group.prefixes[prefix] {
				step := Step{Route: route.path, Host: key}
				step.Matched, step.Reason = route.explain(request, chosen)
				chosen = chosen || step.Matched
				compared[route.path] = true
				full = append(full, step)
			}
		}
		for _, prefix := range slices.Sorted(maps.Keys(group.prefixes)) {
			if hasPathPrefix(prefix, target) {
				continue
			}
			for _, route := range group.prefixes[prefix] {
				compared[route.path] = true
				others = append(others, Step{
					Route: route.path, Host: key,
					Reason: fmt.Sprintf("prefix %s does not fit path %s", displayPrefix(prefix), displayPrefix(target)),
				})
			}
		}
	}
	result.Steps = append(full, others...)
	if len(result.Steps) > maxSteps {
		result.Omitted = len(result.Steps) - maxSteps
		result.Steps = result.Steps[:maxSteps]
	}
	result.OtherHosts = len(t.routes) - len(compared)
	return result
}

// explain reports whether the request chooses the route, and why. If chosen is set, a
// more specific route has been chosen before.
func (r *route) explain(request Request, chosen bool) (matched bool, reason string) {
	if !r.matchesMethod(request.Method) {
		return false, fmt.Sprintf("method %s is not one of %s", request.Method, strings.Join(r.methods, ", "))
	}
	if missing := r.missingHeader(request.Header); missing != nil {
		return false, fmt.Sprintf("header %s does not have the value %q", missing.name, missing.value)
	}
	if chosen {
		return false, "fits, but a more specific route fits too"
	}
	return true, "chosen"
}

func displayPrefix(prefix string) string {
	if prefix == "" {
		return "/"
	}
	return prefix
}
