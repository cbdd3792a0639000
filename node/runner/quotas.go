package runner

import (
	"context"
	"net"
	"time"

	"sycamorerun/node/rationer"
)

// wireQuotas sets up the quotas of accounts.
func (n *node) wireQuotas(now time.Time) {
	r := rationer.New(now, n.settings.Name, rationer.Terms{
		Window: n.settings.QuotaWindow, Overage: n.settings.QuotaOverage, Slack: n.settings.QuotaSlack,
	})
	r.Open = func(ctx context.Context, peer string) (net.Conn, error) {
		return n.openStream(ctx, peer, rationer.Kind)
	}
	r.Logger, r.Scope = n.logger, n.scope
	r.SetMembers(now, names(n.fleet.live()))
	n.rationer = r
	n.calls.forwarder.Charge = r.Charge
	n.calls.limiter.Weight = r.Rate
}
