package manager

import (
	"context"
	"net/netip"

	"sycamorerun"
	"sycamorerun/api/gen/upstream"
)

// upstreamService implements upstream.Service.
type upstreamService struct{ *Manager }

// Announce implements upstream.Service.
func (s *upstreamService) Announce(_ context.Context, payload *upstream.AnnouncePayload) error {
	address, err := netip.ParseAddrPort(payload.Address)
	if err != nil {
		return &upstream.Problem{Name: "invalid", Code: "bad-address", Reason: "address must be an IP address and a port"}
	}
	err = s.Manager.Announce(Announcement{
		Service: payload.Service, Address: address, State: sycamorerun.State(payload.State), Slots: payload.Slots,
	})
	if err != nil {
		return &upstream.Problem{Name: "invalid", Code: "not-accepted", Reason: err.Error()}
	}
	return nil
}
