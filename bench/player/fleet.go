package player

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sycamorerun/bench/caller"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/experimenter"
)

// Teams of the settings.
const (
	teamLoad   = "load"
	teamMarker = "marker"
)

// spec returns the fleet of a variant.
func spec(x experimenter.Experiment, v experimenter.Variant, binaries, directory string) deployer.Spec {
	s := deployer.Spec{
		Binaries: binaries, Directory: directory, Upstreams: true, Relays: true,
		// The delays are one way.
		ZoneDelay: x.Fleet.Near / 2, RegionDelay: x.Fleet.Far / 2,
		UpstreamArgs: []string{"--connections", "130", "--connect", "1ms"},
		ServiceArgs:  map[string][]string{},
	}
	for _, setting := range v.Settings {
		s.NodeArgs = append(s.NodeArgs, "--"+setting.Name+"="+setting.Value)
	}
	for _, place := range x.Fleet.Places() {
		last := len(s.Zones) - 1
		if last < 0 || s.Zones[last].Name != place.Zone {
			s.Zones = append(s.Zones, deployer.Zone{Name: place.Zone, Region: place.Region})
			last++
		}
		s.Zones[last].Nodes++
		s.Zones[last].Services = append(s.Zones[last].Services, place.Service)
	}
	for _, service := range x.Fleet.Services {
		s.ServiceArgs[service.Name] = []string{
			"--slots", strconv.Itoa(service.Slots), "--work", service.Work.String(), "--cold", service.Cold.String(),
		}
	}
	return s
}

// host is the host name of a kind of requests.
func host(kind string) string { return kind + ".example" }

// loadSettings returns the settings of the services and of a route for each
// kind of requests.
func loadSettings(x experimenter.Experiment) string {
	var text strings.Builder
	fmt.Fprintf(&text, "team: %s\nservices:\n", teamLoad)
	for _, service := range x.Fleet.Services {
		fmt.Fprintf(&text, "  %s: {slots: %d, queue: %d, connections: 130, warmup: %s}\n", service.Name, service.Slots, service.Queue, service.Warmup)
	}
	text.WriteString("routes:\n")
	for _, kind := range x.Load {
		repeat := "always"
		if kind.Once {
			repeat = "never"
		}
		fmt.Fprintf(&text, "  %s: {hosts: [%s], prefix: /, class: %s, repeat: %s, rank: %d, timeout: %s, objective: %s, split: [{service: %s, weight: 100}]}\n",
			kind.Name, host(kind.Name), kind.Class, repeat, kind.Rank, kind.Timeout, kind.Objective, kind.Service)
	}
	return text.String()
}

// markerSettings returns the settings of the version with a number: a route
// whose timeout shows it to callers.
func markerSettings(x experimenter.Experiment, number int) string {
	return fmt.Sprintf("team: %s\nroutes:\n  %s: {hosts: [%s], prefix: /, repeat: always, rank: 1, timeout: %s, split: [{service: %s, weight: 100}]}\n",
		teamMarker, experimenter.Marker, host(experimenter.Marker), caller.MarkerTimeout(number), x.Fleet.Services[0].Name)
}

// callers returns the callers of the experiment and those that read the
// version in force.
func (r *run) callers() *caller.Generator {
	c := &caller.Generator{Seed: r.x.Seed}
	for _, node := range r.fleet.Nodes {
		c.Entries = append(c.Entries, caller.Entry{Name: node.Name, Zone: node.Zone.Name, Address: node.Callers})
	}
	for _, k := range r.x.Load {
		c.Kinds = append(c.Kinds, caller.Kind{
			Name: k.Name, Rate: k.Rate, Host: host(k.Name), Work: k.Work, Body: k.Body, Response: k.Response,
			Objective: k.Objective, Deadline: k.Deadline, Timeout: k.Timeout, Retries: k.Retries,
			AtMostOnce: k.Once, Key: k.Key, ImmediateRetryShare: k.Hasty, DisconnectShare: k.Leaving,
		})
	}
	c.Kinds = append(c.Kinds, caller.Kind{
		Name: experimenter.Marker, Rate: float64(markerRate * len(r.fleet.Nodes)), Host: host(experimenter.Marker), Marker: true,
	})
	for _, event := range r.x.Events {
		if event.Kind != experimenter.Load {
			continue
		}
		kinds := event.On
		if len(kinds) == 0 {
			kinds = kindNames(r.x)
		}
		for _, kind := range kinds {
			c.Bursts = append(c.Bursts, caller.Burst{Kind: kind, At: event.At, For: event.For, Factor: event.Factor})
		}
	}
	return c
}

// selected returns the nodes that an event applies to, in an order that the
// seed fixes, and of them the event's share.
func (r *run) selected(number int, event experimenter.Event) []*deployer.Node {
	var nodes []*deployer.Node
	for _, place := range r.x.Fleet.Select(event.On) {
		nodes = append(nodes, r.fleet.Node(place.Node))
	}
	if event.Share == 0 || event.Kind.Store() || event.Kind.Requests() || event.Kind.Link() {
		return nodes
	}
	shuffle(r.x.Seed, number, nodes)
	if event.Kind == experimenter.Roll {
		return nodes
	}
	return nodes[:part(event.Share, len(nodes))]
}

// part returns a share of a number, at least one.
func part(share float64, of int) int {
	return min(of, max(1, int(share*float64(of)+0.5)))
}

// span returns the length of an event, for which the rest of the run stands if
// it has none.
func span(x experimenter.Experiment, event experimenter.Event) time.Duration {
	return cmp.Or(event.For, x.Duration-event.At)
}
