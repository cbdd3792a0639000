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

// Teams that own the settings of the load and the route of the marker requests.
const (
	teamLoad   = "load"
	teamMarker = "marker"
)

// fleetSpec returns the deployment of a variant.
func fleetSpec(experiment experimenter.Experiment, variant experimenter.Variant, binaries, directory string) deployer.Spec {
	s := deployer.Spec{
		Binaries: binaries, Directory: directory, Upstreams: true, Relays: true,
		// Delays are one-way, experiments define round-trip times.
		ZoneDelay: experiment.Fleet.ZoneRTT / 2, RegionDelay: experiment.Fleet.RegionRTT / 2,
		UpstreamArgs: []string{"--connections", "130", "--connect", "1ms"},
		ServiceArgs:  map[string][]string{},
	}
	for _, setting := range variant.Settings {
		s.NodeArgs = append(s.NodeArgs, "--"+setting.Name+"="+setting.Value)
	}
	for _, place := range experiment.Fleet.Placements() {
		last := len(s.Zones) - 1
		if last < 0 || s.Zones[last].Name != place.Zone {
			s.Zones = append(s.Zones, deployer.Zone{Name: place.Zone, Region: place.Region})
			last++
		}
		s.Zones[last].Nodes++
		s.Zones[last].Services = append(s.Zones[last].Services, place.Service)
	}
	for _, service := range experiment.Fleet.Services {
		s.ServiceArgs[service.Name] = []string{
			"--slots", strconv.Itoa(service.Slots), "--work", service.Work.String(), "--cold", service.Cold.String(),
		}
	}
	return s
}

// hostName returns the host name of a request kind.
func hostName(kind string) string { return kind + ".example" }

// loadSettings returns the settings of the services and of one route for each
// request kind.
func loadSettings(experiment experimenter.Experiment) string {
	var text strings.Builder
	fmt.Fprintf(&text, "team: %s\nservices:\n", teamLoad)
	for _, service := range experiment.Fleet.Services {
		fmt.Fprintf(&text, "  %s: {slots: %d, queue: %d, connections: 130, warmup: %s}\n", service.Name, service.Slots, service.Queue, service.Warmup)
	}
	text.WriteString("routes:\n")
	for _, kind := range experiment.Load {
		repeat := "always"
		if kind.Once {
			repeat = "never"
		}
		fmt.Fprintf(&text, "  %s: {hosts: [%s], prefix: /, class: %s, repeat: %s, rank: %d, timeout: %s, objective: %s, split: [{service: %s, weight: 100}]}\n",
			kind.Name, hostName(kind.Name), kind.Class, repeat, kind.Rank, kind.Timeout, kind.Objective, kind.Service)
	}
	return text.String()
}

// markerSettings returns the settings of a marker version: a route whose timeout
// encodes the number of the version for callers.
func markerSettings(experiment experimenter.Experiment, number int) string {
	return fmt.Sprintf("team: %s\nroutes:\n  %s: {hosts: [%s], prefix: /, repeat: always, rank: 1, timeout: %s, split: [{service: %s, weight: 100}]}\n",
		teamMarker, experimenter.MarkerKind, hostName(experimenter.MarkerKind), caller.MarkerTimeout(number), experiment.Fleet.Services[0].Name)
}

// newLoadGenerator returns the generator of the experiment's load and of the
// requests that read the version in force.
func (r *run) newLoadGenerator() *caller.Generator {
	c := &caller.Generator{Seed: r.experiment.Seed}
	for _, node := range r.fleet.Nodes {
		c.Entries = append(c.Entries, caller.Entry{Name: node.Name, Zone: node.Zone.Name, Address: node.Callers})
	}
	for _, k := range r.experiment.Load {
		c.Kinds = append(c.Kinds, caller.Kind{
			Name: k.Name, Rate: k.Rate, Host: hostName(k.Name), Work: k.Work, Body: k.Body, Response: k.Response,
			Objective: k.Objective, Deadline: k.Deadline, Timeout: k.Timeout, Retries: k.Retries,
			AtMostOnce: k.Once, Key: k.IdempotencyKey, ImmediateRetryShare: k.IgnoreRetryAfter, DisconnectShare: k.DisconnectEarly,
		})
	}
	c.Kinds = append(c.Kinds, caller.Kind{
		Name: experimenter.MarkerKind, Rate: float64(markerRate * len(r.fleet.Nodes)), Host: hostName(experimenter.MarkerKind), Marker: true,
	})
	for _, event := range r.experiment.Events {
		if event.Kind != experimenter.Load {
			continue
		}
		kinds := event.On
		if len(kinds) == 0 {
			kinds = kindNames(r.experiment)
		}
		for _, kind := range kinds {
			c.Bursts = append(c.Bursts, caller.Burst{Kind: kind, At: event.At, For: event.For, Factor: event.Factor})
		}
	}
	return c
}

// selectNodes returns the nodes that an event applies to. If the share of the
// event refers to nodes, they are shuffled with the seed and limited to the
// share; a rolling restart applies to all of them.
func (r *run) selectNodes(number int, event experimenter.Event) []*deployer.Node {
	var nodes []*deployer.Node
	for _, place := range r.experiment.Fleet.Select(event.On) {
		nodes = append(nodes, r.fleet.Node(place.Node))
	}
	if event.Share == 0 || event.Kind.IsStoreFault() || event.Kind.IsRequestBehavior() || event.Kind.IsNetworkFault() {
		return nodes
	}
	shuffle(r.experiment.Seed, number, nodes)
	if event.Kind == experimenter.Roll {
		return nodes
	}
	return nodes[:shareOf(event.Share, len(nodes))]
}

// shareOf returns a share of total, rounded and at least one.
func shareOf(share float64, total int) int {
	return min(total, max(1, int(share*float64(total)+0.5)))
}

// eventDuration returns the duration of an event, which defaults to the
// remainder of the run.
func eventDuration(experiment experimenter.Experiment, event experimenter.Event) time.Duration {
	return cmp.Or(event.For, experiment.Duration-event.At)
}
