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
	// Binaries is the directory of the programs, Directory a writable one.
	Binaries  string
	Directory string
	// Network is the second number of the loopback addresses, 127.Network.x.y.
	// New chooses one that no other fleet on the machine uses.
	Network uint8
	Zones   []Zone
	// Services are given to the nodes in turn.
	Services []string
	// Upstreams starts a stand-in upstream beside each node.
	Upstreams bool
	// Relays puts a relay in front of each node and of the store in each
	// availability zone, for partitions and delays.
	Relays bool
	// NodeArgs are further arguments of every node.
	NodeArgs []string
	// UpstreamArgs are further arguments of every upstream.
	UpstreamArgs []string
	// ServiceArgs are further arguments of the upstreams of a service.
	ServiceArgs map[string][]string
	// ZoneDelay and RegionDelay are added one way between availability zones
	// of a region and between regions; they need Relays.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// Jitter and Loss are those of relayer.Rule between availability zones.
	Jitter time.Duration
	Loss   float64
}

// Zone is an availability zone with its nodes.
type Zone struct {
	Name   string
	Region string
	Nodes  int
	// Services are those of its nodes in their order, in place of the Services
	// of the Spec.
	Services []string
}

// ReferenceZones returns the six availability zones of today's deployments with the
// given nodes in each; the store is in the first region.
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

// Ports of the processes; each has an address of its own.
const (
	portStore     = 7000
	portPeers     = 7060
	portRelay     = 7061
	portOperators = 7070
	portCallers   = 8080
	portUpstream  = 9000
	portControl   = 9100
	// hostStore is the last number of the store's relay in a zone.
	hostStore = 254
	// hostGuard and portGuard are the address that reserves a network.
	hostGuard = 250
	portGuard = 6999
	// firstNetwork and networks bound the networks to choose from.
	firstNetwork = 16
	networks     = 200
)

func (s Spec) address(zone, host uint8, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.Network, zone, host}), port)
}

// reserve chooses a network and listens on its guard address for as long as
// the fleet exists, so that fleets of other processes choose another one.
func (s *Spec) reserve() (net.Listener, error) {
	start := rand.IntN(networks)
	for i := range networks {
		s.Network = uint8(firstNetwork + (start+i)%networks)
		guard, err := net.Listen("tcp", s.address(0, hostGuard, portGuard).String())
		if err == nil {
			return guard, nil
		}
	}
	return nil, errors.New("every loopback network is in use")
}

// zoneOf returns the zone that an address belongs to.
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
