package router

import (
	"cmp"
	"slices"

	"sycamorerun"
)

// State says whether the services of a route have upstreams.
type State string

// States of a route.
const (
	// Served means that every service of the split has an upstream.
	Served State = "served"
	// Partial means that some services of the split have no upstream. Calls drawn
	// for these services are not run.
	Partial State = "partial"
	// Unserved means that no service of the split has an upstream.
	Unserved State = "unserved"
)

// Target is a service in the split of a route.
type Target struct {
	Service string
	// Share is the fraction of the route's calls that go to the service.
	Share float64
	// Upstreams is the number of upstreams that take calls.
	Upstreams int
}

// Status is the state of a route and of its targets.
type Status struct {
	Route   sycamorerun.Path
	State   State
	Targets []Target
}

// Statuses returns the status of all routes, sorted by path. The function upstreams
// returns the number of upstreams of a service that take calls.
func (t *Table) Statuses(upstreams func(service string) int) []Status {
	result := make([]Status, 0, len(t.routes))
	for _, route := range t.routes {
		result = append(result, route.status(upstreams))
	}
	return result
}

// Degraded returns the status of the routes that are partial or unserved. It runs
// after each change of the members and therefore allocates nothing for served routes.
func (t *Table) Degraded(upstreams func(service string) int) []Status {
	var result []Status
	for _, route := range t.routes {
		if route.state(upstreams) != Served {
			result = append(result, route.status(upstreams))
		}
	}
	return result
}

// Status returns the status of the route with path.
func (t *Table) Status(path sycamorerun.Path, upstreams func(service string) int) (Status, bool) {
	at, found := slices.BinarySearchFunc(t.routes, path, func(r *route, path sycamorerun.Path) int {
		return cmp.Compare(r.path, path)
	})
	if !found {
		return Status{}, false
	}
	return t.routes[at].status(upstreams), true
}

func (r *route) state(upstreams func(service string) int) State {
	empty := 0
	for _, target := range r.split {
		if upstreams(target.service) == 0 {
			empty++
		}
	}
	switch empty {
	case 0:
		return Served
	case len(r.split):
		return Unserved
	default:
		return Partial
	}
}

func (r *route) status(upstreams func(service string) int) Status {
	status := Status{Route: r.path, State: r.state(upstreams)}
	previous := uint64(0)
	for _, target := range r.split {
		status.Targets = append(status.Targets, Target{
			Service: target.service, Share: float64(target.cumulativeWeight-previous) / float64(r.totalWeight), Upstreams: upstreams(target.service),
		})
		previous = target.cumulativeWeight
	}
	return status
}
