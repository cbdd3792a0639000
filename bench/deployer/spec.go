package deployer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Spec describes a fleet.
type Spec struct {
	// Binaries is the directory of the programs, Directory the one for keys, logs and
	// journals.
	Binaries  string
	Directory string
	// Network is the second octet of the loopback addresses, 127.Network.x.y. New
	// chooses one that no other fleet on the machine uses.
	Network uint8
	Zones   []Zone
	// Services are assigned to the nodes in turn.
	Services []string
	// Upstreams starts a stand-in upstream beside each node.
	Upstreams bool
	// Relays starts a relay in front of each node and, in each availability zone, one
	// in front of the store. Network delays and faults need them.
	Relays bool
	// NodeArgs are additional arguments of every node.
	NodeArgs []string
	// UpstreamArgs are additional arguments of every upstream.
	UpstreamArgs []string
	// ServiceArgs are additional arguments of the upstreams by service.
	ServiceArgs map[string][]string
	// ZoneDelay and RegionDelay are the one-way delays between availability zones of
	// a region and between regions. They need Relays.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// Jitter and Loss apply between availability zones, as in relayer.Rule.
	Jitter time.Duration
	Loss   float64
}

// Zone is an availability zone with its nodes.
type Zone struct {
	Name   string
	Region string
	Nodes  int
	// Services has the service of each node in order. If empty, Spec.Services apply.
	Services []string
}

// ReferenceZones returns the six availability zones of the users' deployments, two in
// each of three regions, with a number of nodes in each. The store is in the first
// region.
func ReferenceZones(nodes int) []Zone {
	regions := []string{"kigali", "north", "south"}
	var zones []Zone
	for _, region := range regions {
		for i := 1; i <= 2; i++ {
			zones = append(zones, Zone{Name: fmt.Sprintf("%s-%d", region, i), Region: region, Nodes: nodes})
		}
	}
	return zones
}

// Ports of the processes. Each process has its own address.
const (
	portStore     = 7000
	portPeers     = 7060
	portRelay     = 7061
	portOperators = 7070
	portCallers   = 8080
	portUpstream  = 9000
	portControl   = 9100
	// hostStore is the last octet of the address of the store's relay in a zone.
	hostStore = 254
	// hostReservation and portReservation form the address whose listener reserves a
	// network.
	hostReservation = 250
	portReservation = 6999
	// firstNetwork and networks define the range of networks to choose from.
	firstNetwork = 16
	networks     = 200
)

func (s Spec) address(zone, host uint8, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Network, zone, host}), port)
}

// reserveNetwork chooses a network and listens on its reservation address until the
// fleet stops, so that fleets of other processes choose another network.
func (s *Spec) reserveNetwork() (net.Listener, error) {
	start := rand.IntN(networks)
	for i := range networks {
		s.Network = uint8(firstNetwork + (start+i)%networks)
		listener, err := net.Listen("tcp", s.address(0, hostReservation, portReservation).String())
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no loopback network is free")
}

// zoneOf returns the zone of an address.
func (s Spec) zoneOf(address netip.Addr) (Zone, bool) {
	number := int(address.Unmap().As4()[2]) - 1
	if number < 0 || number >= len(s.Zones) {
		return Zone{}, false
	}
	return s.Zones[number], true
}

// delay returns the one-way delay between two zones.
func (s Spec) delay(from, to Zone) time.Duration {
	switch {
	case from.Region != to.Region:
		return s.RegionDelay
	case from.Name != to.Name:
		return s.ZoneDelay
	}
	return 0
}
