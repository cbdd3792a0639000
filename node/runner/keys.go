package runner

import (
	"context"
	"net"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/node/connector"
	"sycamorerun/node/deduplicator"
)

const (
	// joinTimeout bounds the time for which a ready upstream receives no calls
	// because other members have not handed over its keys.
	joinTimeout = 3 * time.Second
	// firstMemberTimeout bounds the time for which a node waits for the record of
	// another member of its service before it takes over keys. It covers the
	// exchange of records with a peer in another region. A node that learns of no
	// member within this time assumes that it is the only one.
	firstMemberTimeout = 500 * time.Millisecond
	// memberPollInterval is the interval at which the wait checks the members.
	memberPollInterval = 20 * time.Millisecond
	// transferTimeout bounds the time by which handing over the keys delays the
	// announcement of a drain.
	transferTimeout = time.Second
)

// wireKeys sets up the publisher, and the transfer of keys that it makes when the local
// upstream starts or stops serving.
func (n *node) wireKeys() {
	n.keys = &deduplicator.Exchanger{
		Records: n.calls.deduplicator,
		Service: func() string {
			announcement, _ := n.calls.upstream.lastAnnouncement()
			return announcement.Service
		},
		Members: func() []deduplicator.Member {
			announcement, _ := n.calls.upstream.lastAnnouncement()
			self := func(member deduplicator.Member) bool { return member.Name == n.settings.Name }
			return slices.DeleteFunc(keyMembers(n.fleet.serving(announcement.Service)), self)
		},
		Open: n.openKeyStream,
		Now:  time.Now, Logger: n.logger, Scope: n.scope,
	}
	n.publisher = &publisher{
		publish:      func(p advertisement) { n.tracker.Announce(time.Now(), p.service, p.state, p.slots, p.release) },
		join:         n.acquireKeys,
		keysDisabled: !n.settings.Keys,
		leave: func() {
			ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
			defer cancel()
			n.keys.Leave(ctx)
		},
	}
}

// openKeyStream opens a stream for an exchange of keys and returns the process that it
// leads to.
func (n *node) openKeyStream(ctx context.Context, peer string) (net.Conn, deduplicator.Member, error) {
	stream, err := n.openStream(ctx, peer, deduplicator.Kind)
	if err != nil {
		return nil, deduplicator.Member{}, err
	}
	return stream, deduplicator.Member(connector.RemoteRun(stream)), nil
}

// acquireKeys takes over the keys that this node owns once its upstream serves. In a
// fleet without a version there are no routes, so no call with a key can have run.
func (n *node) acquireKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if n.applier.Current().Tree.Version > 0 {
		n.waitForMember(ctx)
	}
	n.keys.Join(ctx)
	if n.applier.Current().Tree.Version == 0 {
		n.calls.deduplicator.StartClean()
	}
}

// waitForMember waits until this node knows another member of its service. The
// configuration can arrive before the records of the members, and a join without
// another member leaves the state of every key unknown for the key window.
func (n *node) waitForMember(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstMemberTimeout)
	defer cancel()
	for len(n.keys.Members()) == 0 && ctx.Err() == nil {
		select {
		case <-time.After(memberPollInterval):
		case <-ctx.Done():
		}
	}
}

// keyMembers returns the processes that execute calls with keys, which are identified
// by name and boot.
func keyMembers(instances []sycamorerun.Instance) []deduplicator.Member {
	members := make([]deduplicator.Member, len(instances))
	for i, instance := range instances {
		members[i] = deduplicator.Member{Name: instance.Name, Boot: int64(instance.Incarnation.Boot())}
	}
	return members
}
