// Package experimenter reads experiments: a fleet, its load, the events during
// the run, the variants to compare and the bounds that the judge checks.
package experimenter

import (
	"fmt"
	"slices"
	"time"
)

// Experiment is the content of a file.
type Experiment struct {
	// Name is part of the names of the result files.
	Name string
	// About says what the experiment shows.
	About string
	// Seed fixes the random choices of callers and events.
	Seed uint64
	// Duration is the time of each variant after the start of its fleet.
	Duration time.Duration
	Fleet    Fleet
	Load     []Kind
	Events   []Event
	Variants []Variant
	Bounds   Bounds
}

// Fleet describes the processes and the network between them.
type Fleet struct {
	// Regions are names; the store is in the first one.
	Regions []string
	// Zones is the number of availability zones in each region.
	Zones int
	// Nodes is the number of nodes in the fleet, each with an upstream.
	Nodes int
	// Near and Far are the times from one availability zone of a region to
	// another and back, and from one region to another and back.
	Near, Far time.Duration
	Services  []Service
}

// Service is a service with the settings of its upstreams.
type Service struct {
	Name string
	// Slots is the number of requests that an upstream runs at once, Queue that
	// of those which wait beside it.
	Slots, Queue int
	// Work is the time that each request takes, in addition to its kind's.
	Work time.Duration
	// Warmup is the slow start, Cold the time for which a started upstream
	// announces itself as cold.
	Warmup, Cold time.Duration
}

// Kind is a kind of requests.
type Kind struct {
	Name    string
	Service string
	// Rate is in requests per second over the whole fleet.
	Rate float64
	// Work is the time that an upstream takes for a request.
	Work time.Duration
	// Objective is the latency that a request aims at, Deadline the time that
	// its caller waits, and Timeout that of the route.
	Objective, Deadline, Timeout time.Duration
	// Retries is the number of attempts after the first one.
	Retries int
	// Once says that a request must not run twice; Key sends an idempotency key.
	Once, Key bool
	// Class and Rank order the requests under overload.
	Class string
	Rank  int
	// Body and Response are the bytes of the bodies.
	Body, Response int
	// Hasty is the share of requests whose callers ignore Retry-After, Leaving
	// that of those whose callers disconnect early.
	Hasty, Leaving float64
}

// Event is something that happens during the run.
type Event struct {
	Kind Action
	// At is the start, from the start of the load, and For the length.
	At, For time.Duration
	// On are the names that the event applies to: kinds of requests for a change
	// of the load, else nodes, availability zones, regions or services. All if
	// empty.
	On []string
	// Share is the part of the selected nodes or of the store's calls.
	Share float64
	// Factor multiplies the load.
	Factor float64
	// Every is the time between the changes of operators.
	Every time.Duration
	// Delay is added to each request.
	Delay time.Duration
	// Line is that of the event in the file.
	Line int
}

// End returns when the event is over.
func (e Event) End() time.Duration { return e.At + e.For }

// String names the event in reports.
func (e Event) String() string {
	text := string(e.Kind)
	if e.Factor > 0 {
		text += fmt.Sprintf(" %g", e.Factor)
	}
	if e.Delay > 0 {
		text += " " + e.Delay.String()
	}
	for i, name := range e.On {
		if i == 0 {
			text += " on"
		}
		text += " " + name
	}
	if e.Share > 0 {
		text += fmt.Sprintf(", share %g", e.Share)
	}
	return text
}

// Variant is a run with settings of its own.
type Variant struct {
	Name string
	// Settings are those of all nodes, by name, in the order of the file.
	Settings []Setting
}

// Setting is a setting of srnode.
type Setting struct{ Name, Value string }

// Bounds are the times within which the judge's promises of these names must
// be kept. Zero selects the judge's own, those of the brief.
type Bounds struct {
	Departure, Force, Answer, Release time.Duration
}

// Place is a node with its surroundings.
type Place struct{ Node, Zone, Region, Service string }

// Places lays out the nodes: over the availability zones in turn, with the
// services in turn in each of them.
func (f Fleet) Places() []Place {
	var places []Place
	zones := len(f.Regions) * f.Zones
	for z := range zones {
		region := f.Regions[z/f.Zones]
		zone := fmt.Sprintf("%s-%d", region, z%f.Zones+1)
		for n := z; n < f.Nodes; n += zones {
			places = append(places, Place{
				Node: fmt.Sprintf("%s-n%d", zone, n/zones+1), Zone: zone, Region: region,
				Service: f.Services[(z+n/zones)%len(f.Services)].Name,
			})
		}
	}
	return places
}

// Select returns the places that one of the names denotes, all if there are no
// names.
func (f Fleet) Select(names []string) []Place {
	return slices.DeleteFunc(f.Places(), func(p Place) bool {
		return len(names) > 0 && !slices.ContainsFunc(names, p.named)
	})
}

func (p Place) named(name string) bool {
	return name == p.Node || name == p.Zone || name == p.Region || name == p.Service
}

// Capacity returns how many requests of a kind the fleet can run per second.
func (x Experiment) Capacity(kind Kind) float64 {
	for _, service := range x.Fleet.Services {
		if work := kind.Work + service.Work; service.Name == kind.Service && work > 0 {
			return float64(len(x.Fleet.Select([]string{service.Name}))*service.Slots) / work.Seconds()
		}
	}
	return 0
}
