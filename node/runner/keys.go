package runner

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/deduplicator"
)

const (
	// joinTimeout bounds the time for which an upstream that is ready gets no
	// calls since members have not handed over its keys.
	joinTimeout = 3 * time.Second
	// meetTimeout bounds the wait of a node for the first other member of its
	// service, before it takes over keys. It covers the exchange of records with
	// a peer in another region. A node that hears of none is taken to be the only
	// one.
	meetTimeout = 500 * time.Millisecond
	// meetStep is the time between two looks at the members.
	meetStep = 20 * time.Millisecond
	// handOverTimeout bounds the time by which the announcement of a drain is
	// late for the hand-over of the keys.
	handOverTimeout = time.Second
)

// wireKeys hands keys over when the upstream here comes or goes.
func (n *node) wireKeys() {
	n.keys = &deduplicator.Exchanger{
		Records: n.calls.deduplicator,
		Service: func() string {
			announcement, _ := n.calls.upstream.service()
			return announcement.Service
		},
		Members: func() []deduplicator.Member {
			announcement, _ := n.calls.upstream.service()
			self := func(member deduplicator.Member) bool { return member.Name == n.settings.Name }
			return slices.DeleteFunc(executors(n.fleet.serving(announcement.Service)), self)
		},
		Open: func(ctx context.Context, peer string) (net.Conn, error) {
			member, ok := n.fleet.member(peer)
			if !ok {
				return nil, errors.Errorf("peer %s is not a member", peer)
			}
			return n.connector.Open(ctx, member.Address, deduplicator.Kind)
		},
		Now: time.Now, Logger: n.logger, Scope: n.scope,
	}
	n.publisher = &publisher{
		publish: func(p presence) { n.tracker.Announce(time.Now(), p.service, p.state, p.slots) },
		join:    n.takeKeys,
		keyless: !n.settings.Keys,
		leave: func() {
			limited, cancel := context.WithTimeout(context.Background(), handOverTimeout)
			defer cancel()
			n.keys.Leave(limited)
		},
	}
}

// takeKeys takes over the keys that this node owns once its upstream serves.
// In a fleet without a version there are no routes, and no call with a key can
// have run.
func (n *node) takeKeys() {
	limited, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if n.applier.Current().Tree.Version > 0 {
		n.awaitMember(limited)
	}
	n.keys.Join(limited)
	if n.applier.Current().Tree.Version == 0 {
		n.calls.deduplicator.StartClean()
	}
}

// awaitMember waits until this node has heard of another member of its service.
// The configuration can arrive before the members' records; a join with nobody
// to ask leaves every key unknown for the key window.
func (n *node) awaitMember(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	for len(n.keys.Members()) == 0 && ctx.Err() == nil {
		select {
		case <-time.After(meetStep):
		case <-ctx.Done():
		}
	}
}

// executors names the processes that execute the keys of a service.
func executors(instances []sycamorerun.Instance) []deduplicator.Member {
	members := make([]deduplicator.Member, len(instances))
	for i, instance := range instances {
		members[i] = deduplicator.Member{Name: instance.Name, Boot: int64(instance.Incarnation.Boot())}
	}
	return members
}
