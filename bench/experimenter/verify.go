package experimenter

import (
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"
)

func itoa(i int) string { return strconv.Itoa(i) }

// verify reports the faults that only the whole file shows, and adds the
// variant without settings when there is none.
func (x *Experiment) verify(r *reader, root *yaml.Node, lines *places) {
	if len(x.Fleet.Services) == 0 {
		r.fault(lines.fleet[0], CodeMissingField, "fleet.services", "a service is needed")
		return
	}
	if zones := len(x.Fleet.Regions) * x.Fleet.Zones; zones > x.Fleet.Nodes {
		r.fault(lines.fleet[0], CodeOutOfBounds, "fleet.nodes", "%d nodes are too few for %d availability zones", x.Fleet.Nodes, zones)
	}
	if len(x.Load) == 0 {
		r.fault(root, CodeMissingField, "load", "a kind of requests is needed")
	}
	for i, kind := range x.Load {
		x.verifyKind(r, lines.load[i], kind)
	}
	for i, event := range x.Events {
		x.verifyEvent(r, lines.events[i], event, "events["+itoa(i)+"]")
	}
	x.verifyChanges(r, lines)
	if len(x.Variants) == 0 {
		x.Variants = []Variant{{Name: "default"}}
	}
}

func (x *Experiment) verifyKind(r *reader, node *yaml.Node, kind Kind) {
	if !slices.ContainsFunc(x.Fleet.Services, func(s Service) bool { return s.Name == kind.Service }) {
		r.fault(node, CodeNoTarget, "load."+kind.Name+".service", "there is no service %s", kind.Service)
	}
	if kind.Name == Marker {
		r.fault(node, CodeBadName, "load."+kind.Name, "the name belongs to the requests that read the version in force")
	}
	if kind.Key && !kind.Once {
		r.fault(node, CodeBadValue, "load."+kind.Name+".key", "only requests with once have a key")
	}
}

func (x *Experiment) verifyEvent(r *reader, node *yaml.Node, event Event, path string) {
	if event.At >= x.Duration || event.End() > x.Duration {
		r.fault(node, CodeOutOfBounds, path, "the event is not within the %s of the run", x.Duration)
	}
	used := actions[event.Kind]
	for i, name := range event.On {
		if !x.denotes(used, name) {
			r.fault(node, CodeNoTarget, join(path, "on["+itoa(i)+"]"), "an event of kind %s can't select %s", event.Kind, name)
		}
	}
}

// denotes reports whether a name selects something for a kind of event.
func (x *Experiment) denotes(used use, name string) bool {
	if used.kinds {
		return slices.ContainsFunc(x.Load, func(k Kind) bool { return k.Name == name })
	}
	return slices.ContainsFunc(x.Fleet.Places(), func(p Place) bool {
		if used.zones {
			return name == p.Zone || name == p.Region
		}
		return p.named(name)
	})
}

// verifyChanges bounds the number of versions: each is shown to callers by a
// timeout of its own.
func (x *Experiment) verifyChanges(r *reader, lines *places) {
	total := 0
	for i, event := range x.Events {
		if event.Kind != Change {
			continue
		}
		if total += int(event.For/event.Every) + 1; total > MostChanges {
			r.fault(lines.events[i], CodeTooMany, "events["+itoa(i)+"]", "more than %d changes", MostChanges)
			return
		}
	}
}

const (
	// Marker is the kind of the requests by which callers read the version in
	// force.
	Marker = "marker"
	// MostChanges is the number of versions that can be told apart.
	MostChanges = 800
)
