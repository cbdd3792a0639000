package router

import (
	"cmp"
	"slices"

	"sycamorerun"
)

// State says whether a route's services have upstreams.
type State string

// States of a route.
const (
	// Served means that each service of the split has an upstream.
	Served State = "served"
	// Partial means that some service of the split has none; the calls drawn
	// for it are not run.
	Partial State = "partial"
	// Unserved means that no service of the split has one.
	Unserved State = "unserved"
)

// Target is a service of a route's split.
type Target struct {
	Service string
	// Share is the service's part of the route's calls, 0 to 1.
	Share     float64
	Upstreams int
}

// Status is a route and what its services have.
type Status struct {
	Route   sycamorerun.Path
	State   State
	Targets []Target
}

// Statuses returns all routes in the order of their paths. The function
// upstreams returns the number of upstreams of a service that take calls.
func (t *Table) Statuses(upstreams func(service string) int) []Status {
	result := make([]Status, 0, len(t.routes))
	for _, route := range t.routes {
		result = append(result, route.status(upstreams))
	}
	return result
}

// Degraded returns the routes that are not served. It runs after each change of
// the members, so that it allocates nothing for served routes.
func (t *Table) Degraded(upstreams func(service string) int) []Status {
	var result []Status
	for _, route := range t.routes {
		if route.state(upstreams) != Served {
			result = append(result, route.status(upstreams))
		}
	}
	return result
}

// Status returns one route of the table.
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
	for _, share := range r.split {
		if upstreams(share.service) == 0 {
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
	below := uint64(0)
	for _, share := range r.split {
		status.Targets = append(status.Targets, Target{
			Service: share.service, Share: float64(share.bound-below) / float64(r.total), Upstreams: upstreams(share.service),
		})
		below = share.bound
	}
	return status
}
