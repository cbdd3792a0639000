package router

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sycamorerun"
)

// maxSteps bounds an explanation: one host may have thousands of routes.
const maxSteps = 64

// Explanation says which routes a request was compared with, in the order of
// preference, and why each fits or does not.
type Explanation struct {
	Match Match
	Found bool
	Steps []Step
	// Omitted is the number of routes of the request's host left out of Steps.
	Omitted int
	// Elsewhere is the number of routes that are for other hosts only.
	Elsewhere int
}

// Attributes describes how the chosen route's calls are handled, as one line.
func (e Explanation) Attributes() string {
	text := fmt.Sprintf("rank %d, timeout %s", e.Match.Rank, e.Match.Timeout)
	if e.Match.Objective > 0 {
		text += fmt.Sprintf(", objective %s", e.Match.Objective)
	}
	if e.Match.Attempts > 0 {
		text += fmt.Sprintf(", at most %d attempts", e.Match.Attempts)
	}
	return text
}

// Step is the comparison with one route.
type Step struct {
	Route sycamorerun.Path
	// Host is the host of the route that fits the request's.
	Host   string
	Fits   bool
	Reason string
}

// String formats the step as one line.
func (s Step) String() string {
	return fmt.Sprintf("%s (host %s): %s", s.Route, s.Host, s.Reason)
}

// Explain returns what Match chooses for the request and why. Routes that lose
// only because of their prefix follow the ones that were compared in full.
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
		for prefix := range prefixes(target) {
			for _, route := range group.prefixes[prefix] {
				step := Step{Route: route.path, Host: key}
				step.Fits, step.Reason = route.compare(request, chosen)
				chosen = chosen || step.Fits
				compared[route.path] = true
				full = append(full, step)
			}
		}
		for _, prefix := range slices.Sorted(maps.Keys(group.prefixes)) {
			if covers(prefix, target) {
				continue
			}
			for _, route := range group.prefixes[prefix] {
				compared[route.path] = true
				others = append(others, Step{
					Route: route.path, Host: key,
					Reason: fmt.Sprintf("prefix %s does not fit path %s", shown(prefix), shown(target)),
				})
			}
		}
	}
	result.Steps = append(full, others...)
	if len(result.Steps) > maxSteps {
		result.Omitted = len(result.Steps) - maxSteps
		result.Steps = result.Steps[:maxSteps]
	}
	result.Elsewhere = len(t.routes) - len(compared)
	return result
}

func (r *route) compare(request Request, chosen bool) (fits bool, reason string) {
	if !r.fitsMethod(request.Method) {
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

func shown(prefix string) string {
	if prefix == "" {
		return "/"
	}
	return prefix
}
