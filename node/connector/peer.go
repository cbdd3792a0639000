package connector

import (
	"net/netip"

	"github.com/pkg/errors"
)

// protocol is the version of the hello exchange and of the stream heads.
const protocol = 1

// nameBytes bounds the names in a hello.
const nameBytes = 253

// Peer identifies one run of a node.
type Peer struct {
	Name string
	// Boot is the random id of the run.
	Boot             int64
	Address          netip.AddrPort
	AvailabilityZone string
	Region           string
}

// Scope says how far apart two nodes are.
type Scope string

// Scopes of traffic.
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

func (p Peer) sameRun(other Peer) bool {
	return p.Name == other.Name && p.Boot == other.Boot
}

func (p Peer) hello() *Hello {
	return &Hello{
		Protocol:         protocol,
		Name:             p.Name,
		Boot:             p.Boot,
		Address:          p.Address.String(),
		AvailabilityZone: p.AvailabilityZone,
		Region:           p.Region,
	}
}

// newPeer checks a received hello.
func newPeer(hello *Hello) (Peer, error) {
	if hello.GetProtocol() != protocol {
		return Peer{}, errors.Errorf("hello with protocol %d, want %d", hello.GetProtocol(), protocol)
	}
	for field, value := range map[string]string{
		"name": hello.GetName(), "availability zone": hello.GetAvailabilityZone(), "region": hello.GetRegion(),
	} {
		if value == "" || len(value) > nameBytes {
			return Peer{}, errors.Errorf("hello with %s of %d bytes, want 1 to %d", field, len(value), nameBytes)
		}
	}
	address, err := netip.ParseAddrPort(hello.GetAddress())
	if err != nil {
		return Peer{}, errors.Wrap(err, "hello address")
	}
	if hello.GetBoot() <= 0 {
		return Peer{}, errors.New("hello without boot id")
	}
	return Peer{
		Name:             hello.GetName(),
		Boot:             hello.GetBoot(),
		Address:          address,
		AvailabilityZone: hello.GetAvailabilityZone(),
		Region:           hello.GetRegion(),
	}, nil
}
