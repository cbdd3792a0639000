// Package experimenter parses and validates experiment files. An experiment
// defines a fleet, its load, the events during the run, the variants to compare
// and the bounds that the judge checks.
package experimenter

import (
	"fmt"
	"slices"
	"time"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	// Name is the prefix of the names of the result files.
	Name string
	// About describes the purpose of the experiment.
	About string
	// Seed initializes the random choices of callers and events.
	Seed uint64
	// Duration is the duration of the load in each variant.
	Duration time.Duration
	Fleet    Fleet
	Load     []Kind
	Events   []Event
	Variants []Variant
	Bounds   Bounds
}

// Fleet defines the processes and the network between them.
type Fleet struct {
	// Regions are the names of the regions. The store is in the first one.
	Regions []string
	// Zones is the number of availability zones in each region.
	Zones int
	// Nodes is the number of nodes in the fleet. Each has one upstream.
	Nodes int
	// ZoneRTT and RegionRTT are the round-trip times between availability zones
	// of a region and between regions.
	ZoneRTT, RegionRTT time.Duration
	Services           []Service
}

// Service defines a service and the behavior of its upstreams.
type Service struct {
	Name string
	// Slots is the number of requests that an upstream executes concurrently,
	// Queue the maximum number of requests that wait for a slot.
	Slots, Queue int
	// Work is the execution time of each request, in addition to Kind.Work.
	Work time.Duration
	// Warmup is the slow-start period. Cold is the period after its start in
	// which an upstream announces itself as cold.
	Warmup, Cold time.Duration
}

// Kind is a request kind: requests with the same service, rate and parameters.
type Kind struct {
	Name    string
	Service string
	// Rate is in requests per second over the whole fleet.
	Rate float64
	// Work is the execution time of a request at the upstream.
	Work time.Duration
	// Objective is the target latency, Deadline the time that the caller waits,
	// and Timeout the timeout of the route.
	Objective, Deadline, Timeout time.Duration
	// Retries is the maximum number of attempts after the first one.
	Retries int
	// Once marks requests that must not be executed twice. IdempotencyKey adds
	// an idempotency key to each request.
	Once, IdempotencyKey bool
	// Class and Rank are the priorities of the requests under overload.
	Class string
	Rank  int
	// Body and Response are the sizes of the request and response bodies in bytes.
	Body, Response int
	// IgnoreRetryAfter is the share of requests whose callers ignore Retry-After,
	// DisconnectEarly the share whose callers disconnect before the response.
	IgnoreRetryAfter, DisconnectEarly float64
}

// Event is a change of load, settings or conditions during the run.
type Event struct {
	Kind EventKind
	// At is the offset from the start of the load, For the duration.
	At, For time.Duration
	// On selects what the event applies to: request kinds for a load event,
	// otherwise nodes, availability zones, regions or services. Empty selects
	// all.
	On []string
	// Share is the affected part, from 0 to 1, of the selected nodes, store
	// calls, requests or segments.
	Share float64
	// Factor multiplies the request rate.
	Factor float64
	// Every is the interval between settings changes.
	Every time.Duration
	// Delay is the added latency.
	Delay time.Duration
	// Line is the line of the event in the file.
	Line int
}

// End returns the offset of the event's end from the start of the load.
func (e Event) End() time.Duration { return e.At + e.For }

// String returns the label of the event in reports.
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

// Variant is a run of the experiment with its own node settings.
type Variant struct {
	Name string
	// Settings apply to all nodes and are in the order of the file.
	Settings []Setting
}

// Setting is a command-line setting of srnode.
type Setting struct{ Name, Value string }

// Bounds are the time limits of the promises with these names, which the judge
// checks. Zero selects the judge's default.
type Bounds struct {
	Departure, Force, Answer, Release time.Duration
}

// Placement is the location and the service of a node.
type Placement struct{ Node, Zone, Region, Service string }

// Placements distributes the nodes round-robin over the availability zones, and
// the services round-robin within each zone.
func (f Fleet) Placements() []Placement {
	var places []Placement
	zones := len(f.Regions) * f.Zones
	for z := range zones {
		region := f.Regions[z/f.Zones]
		zone := fmt.Sprintf("%s-%d", region, z%f.Zones+1)
		for n := z; n < f.Nodes; n += zones {
			places = append(places, Placement{
				Node: fmt.Sprintf("%s-n%d", zone, n/zones+1), Zone: zone, Region: region,
				Service: f.Services[(z+n/zones)%len(f.Services)].Name,
			})
		}
	}
	return places
}

// Select returns the placements that match any of the names, or all placements
// if names is empty.
func (f Fleet) Select(names []string) []Placement {
	return slices.DeleteFunc(f.Placements(), func(p Placement) bool {
		return len(names) > 0 && !slices.ContainsFunc(names, p.matches)
	})
}

func (p Placement) matches(name string) bool {
	return name == p.Node || name == p.Zone || name == p.Region || name == p.Service
}

// Capacity returns the number of requests of a kind that the fleet can execute
// per second, or 0 if it is unbounded.
func (x Experiment) Capacity(kind Kind) float64 {
	for _, service := range x.Fleet.Services {
		if work := kind.Work + service.Work; service.Name == kind.Service && work > 0 {
			return float64(len(x.Fleet.Select([]string{service.Name}))*service.Slots) / work.Seconds()
		}
	}
	return 0
}
