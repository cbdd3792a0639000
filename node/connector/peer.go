package connector

import (
	"net/netip"

	"github.com/pkg/errors"

	"sycamorerun"
)

// protocolVersion covers the hello exchange and the stream heads.
const protocolVersion = 1

// maxNameBytes is the maximum length of each name in a hello.
const maxNameBytes = 253

// Peer identifies one run of a node process.
type Peer struct {
	Name string
	// Boot is a random id that a node process chooses at start.
	Boot             int64
	Address          netip.AddrPort
	AvailabilityZone string
	Region           string
}

// Scope is the network distance between two nodes: within a zone, between zones
// of a region, or between regions.
type Scope string

// The scopes of traffic.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
	ScopeCross  Scope = "cross-region"
)

// scope classifies the traffic between two peers.
func (p Peer) scope(other Peer) Scope {
	switch {
	case p.Region != other.Region:
		return ScopeCross
	case p.AvailabilityZone != other.AvailabilityZone:
		return ScopeRegion
	}
	return ScopeZone
}

// Run returns the identity of the run.
func (p Peer) Run() sycamorerun.Run { return sycamorerun.Run{Name: p.Name, Boot: p.Boot} }

func (p Peer) sameRun(other Peer) bool { return p.Run() == other.Run() }

// hello returns the hello for the session with the given number.
func (p Peer) hello(session uint64) *Hello {
	return &Hello{
		Protocol:         protocolVersion,
		Name:             p.Name,
		Boot:             p.Boot,
		Address:          p.Address.String(),
		AvailabilityZone: p.AvailabilityZone,
		Region:           p.Region,
		Session:          session,
	}
}

// newPeer validates a received hello and returns its peer.
func newPeer(hello *Hello) (Peer, error) {
	if hello.GetProtocol() != protocolVersion {
		return Peer{}, errors.Errorf("hello has protocol version %d, want %d", hello.GetProtocol(), protocolVersion)
	}
	for field, value := range map[string]string{
		"name": hello.GetName(), "availability zone": hello.GetAvailabilityZone(), "region": hello.GetRegion(),
	} {
		if value == "" || len(value) > maxNameBytes {
			return Peer{}, errors.Errorf("%s in hello has %d bytes, want 1 to %d", field, len(value), maxNameBytes)
		}
	}
	address, err := netip.ParseAddrPort(hello.GetAddress())
	if err != nil {
		return Peer{}, errors.Wrap(err, "parse address in hello")
	}
	if hello.GetBoot() <= 0 {
		return Peer{}, errors.New("hello has no boot id")
	}
	return Peer{
		Name:             hello.GetName(),
		Boot:             hello.GetBoot(),
		Address:          address,
		AvailabilityZone: hello.GetAvailabilityZone(),
		Region:           hello.GetRegion(),
	}, nil
}
