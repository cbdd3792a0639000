package experimenter

import (
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"
)

func itoa(i int) string { return strconv.Itoa(i) }

// validate reports the faults that depend on several parts of the file, and
// adds a variant without settings if the file has no variants.
func (x *Experiment) validate(r *reader, root *yaml.Node, objects *objectNodes) {
	if len(x.Fleet.Services) == 0 {
		r.addFault(objects.fleet[0], CodeMissingField, "fleet.services", "a service is needed")
		return
	}
	if zones := len(x.Fleet.Regions) * x.Fleet.Zones; zones > x.Fleet.Nodes {
		r.addFault(objects.fleet[0], CodeOutOfBounds, "fleet.nodes", "%d nodes are too few for %d availability zones", x.Fleet.Nodes, zones)
	}
	if len(x.Load) == 0 {
		r.addFault(root, CodeMissingField, "load", "a kind of requests is needed")
	}
	for i, kind := range x.Load {
		x.validateKind(r, objects.load[i], kind)
	}
	for i, event := range x.Events {
		x.validateEvent(r, objects.events[i], event, "events["+itoa(i)+"]")
	}
	x.validateChanges(r, objects)
	if len(x.Variants) == 0 {
		x.Variants = []Variant{{Name: "default"}}
	}
}

func (x *Experiment) validateKind(r *reader, node *yaml.Node, kind Kind) {
	if !slices.ContainsFunc(x.Fleet.Services, func(s Service) bool { return s.Name == kind.Service }) {
		r.addFault(node, CodeNoTarget, "load."+kind.Name+".service", "there is no service %s", kind.Service)
	}
	if kind.Name == MarkerKind {
		r.addFault(node, CodeBadName, "load."+kind.Name, "the name belongs to the requests that read the version in force")
	}
	if kind.IdempotencyKey && !kind.Once {
		r.addFault(node, CodeBadValue, "load."+kind.Name+".key", "only requests with once have a key")
	}
}

func (x *Experiment) validateEvent(r *reader, node *yaml.Node, event Event, path string) {
	if event.At >= x.Duration || event.End() > x.Duration {
		r.addFault(node, CodeOutOfBounds, path, "the event is not within the %s of the run", x.Duration)
	}
	rules := eventRules[event.Kind]
	for i, name := range event.On {
		if !x.canSelect(rules, name) {
			r.addFault(node, CodeNoTarget, join(path, "on["+itoa(i)+"]"), "an event of kind %s can't select %s", event.Kind, name)
		}
	}
}

// canSelect reports whether the field on of an event with the rules can list
// the name.
func (x *Experiment) canSelect(rules fieldRules, name string) bool {
	if rules.selectsKinds {
		return slices.ContainsFunc(x.Load, func(k Kind) bool { return k.Name == name })
	}
	return slices.ContainsFunc(x.Fleet.Placements(), func(p Placement) bool {
		if rules.selectsZones {
			return name == p.Zone || name == p.Region
		}
		return p.matches(name)
	})
}

// validateChanges bounds the number of settings changes, since each version has
// its own route timeout, by which callers recognize it.
func (x *Experiment) validateChanges(r *reader, objects *objectNodes) {
	total := 0
	for i, event := range x.Events {
		if event.Kind != Change {
			continue
		}
		if total += int(event.For/event.Every) + 1; total > MaxChanges {
			r.addFault(objects.events[i], CodeTooMany, "events["+itoa(i)+"]", "more than %d changes", MaxChanges)
			return
		}
	}
}

const (
	// MarkerKind is the request kind with which callers read the version in
	// force.
	MarkerKind = "marker"
	// MaxChanges bounds the settings changes of a run. It is below
	// caller.MaxMarkerVersion, the number of versions that callers can
	// distinguish.
	MaxChanges = 800
)
