package runner

import (
	"net/netip"
	"time"

	"sycamorerun"
	"sycamorerun/loader"
	"sycamorerun/parser"
)

// Settings holds the process settings of a node.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Service is the service of the local upstream, for Contract.Origin, and Upstream
	// its address. Announcements of another service or address are rejected. Both
	// may be unset.
	Service  string
	Upstream netip.AddrPort

	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Listen    netip.AddrPort
	Operators netip.AddrPort

	Seeds []netip.AddrPort
	Store netip.AddrPort

	CA          string
	Certificate string
	Key         string
	Insecure    bool

	AdminHash string

	Mode         string
	Balance      string
	StandbyDelay time.Duration
	Watchers     int
	StartWait    time.Duration
	DrainDelay   time.Duration
	StopTimeout  time.Duration

	// LinkRate is the rate of the machine's link in Mbit/s; zero means unknown.
	LinkRate float64

	Keys           bool
	KeyWindow      time.Duration
	AnnouncePeriod time.Duration

	// RetryRatio is negative if the services' own ratios apply.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64

	// QuotaWindow, QuotaOverage and QuotaSlack are the terms on which the rates of
	// accounts hold.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	// RolloutShare is the bound on the share of a service's calls that go to a
	// release that is tried. Zero disables rollouts.
	RolloutShare float64

	// MaxHeader, MaxBody, HeaderTimeout and IdleTimeout are the limits for
	// callers that apply where the configuration sets none.
	MaxHeader     int
	MaxBody       int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Memory is the memory of the machine in MB, Descriptors the number of descriptors
	// that the process may open. Zero means unknown.
	Memory      int
	Descriptors int
	LogLevel    string
}

// Register adds the settings to l.
func (s *Settings) Register(l *loader.Loader) {
	loader.Add(l, &s.Name, "name", "", loader.Name(), "name of the instance, unique in the fleet")
	loader.Add(l, &s.AvailabilityZone, "availability-zone", "", loader.Name(), "availability zone of the instance")
	loader.Add(l, &s.Region, "region", "", loader.Name(), "region of the availability zone")
	loader.Add(l, &s.Service, "service", "", loader.Text("a name, or nothing"), "service of the upstream beside this node, sent as the origin of calls that enter at this node; if set, announcements of another service are rejected")
	loader.Add(l, &s.Upstream, "upstream", "", loader.OptionalAddress(), "address of the upstream beside this node; if set, announcements of another address are rejected")
	loader.Add(l, &s.Callers, "callers", "127.0.0.1:8080", loader.Address(), "address for callers")
	loader.Add(l, &s.Peers, "peers", "127.0.0.1:7060", loader.Address(), "address at which peers reach this node")
	loader.Add(l, &s.Listen, "listen-peers", "", loader.OptionalAddress(), "address to listen on for peers, if it differs from the one at which they reach this node")
	loader.Add(l, &s.Operators, "operators", "127.0.0.1:7070", loader.Address(), "address for operators, metrics and the local upstream")
	loader.Add(l, &s.Seeds, "seeds", "", loader.Addresses(), "addresses of peers to join through; if there are none, the seed records in the store are used")
	loader.Add(l, &s.Store, "store", "127.0.0.1:7000", loader.Address(), "address of the object store")
	loader.Add(l, &s.CA, "tls-ca", "", loader.Text("a PEM file"), "CA that signs the peers' certificates")
	loader.Add(l, &s.Certificate, "tls-cert", "", loader.Text("a PEM file"), "certificate of this node")
	loader.Add(l, &s.Key, "tls-key", "", loader.Text("a PEM file"), "private key of this node")
	loader.Add(l, &s.Insecure, "insecure-peers", "false", loader.Bool(), "communicate with peers without TLS; only for tests on one host")
	loader.Add(l, &s.AdminHash, "admin-hash", "", adminHash(), "hash of the first administrator's token")
	loader.Add(l, &s.Mode, "mode", "tree", loader.Choice("tree", "poll", "gossip"), "how versions are distributed; poll and gossip are baselines for comparison")
	loader.Add(l, &s.Balance, "balance", "load", loader.Choice("load", "round-robin"), "how calls are balanced; round-robin is a baseline for comparison")
	loader.Add(l, &s.StandbyDelay, "standby-delay", "500ms", loader.Duration(0, 5*time.Second), "how long the standby watcher waits before it fetches an entry itself", loader.Reloadable)
	loader.Add(l, &s.Watchers, "watchers", "0", loader.Int(0, 64), "number of members in the whole fleet that watch the store, the nearest to it first; 0 selects two per region")
	loader.Add(l, &s.StartWait, "start-wait", "10s", loader.Duration(0, 10*time.Minute), "how long to wait for the newest version before logging a warning that the node is not ready yet")
	loader.Add(l, &s.StopTimeout, "stop-timeout", "34s", loader.Duration(minStopTimeout, time.Hour), "time from SIGTERM until the process has ended; the supervisor must not kill it earlier", loader.Reloadable)
	loader.Add(l, &s.DrainDelay, "drain-delay", "3s", loader.Duration(0, time.Minute), "how long a stopping node still accepts calls from peers, while they learn that it is leaving; at most a third of the time for calls before stop-timeout", loader.Reloadable)
	loader.Add(l, &s.LinkRate, "link-rate", "0", loader.Float(0, 1e6), "rate of the machine's link in Mbit/s; large responses are paced under it, so that small ones don't wait behind them; 0 means unknown, and nothing is paced")
	loader.Add(l, &s.Keys, "keys", "true", loader.Bool(), "whether a request with an idempotency key goes to the key's owner; if false, keys are not transferred and such a request is forwarded like any other")
	loader.Add(l, &s.KeyWindow, "key-window", "10m", loader.Duration(time.Second, 24*time.Hour), "how long an idempotency key is remembered, and how long requests with a key of a lost process get the result unknown")
	loader.Add(l, &s.RetryRatio, "retry-ratio", "-1", loader.Float(-1, 1), "maximum retries of the fleet as a fraction of a service's calls; a negative value selects the service's own setting")
	loader.Add(l, &s.RetryWindow, "retry-window", "10s", loader.Duration(time.Second, 10*time.Minute), "sliding window in which retries are counted")
	loader.Add(l, &s.RetrySlack, "retry-slack", "64", loader.Float(0, 1e6), "additional retries of the fleet per window and service beyond the ratio, divided among the nodes")
	loader.Add(l, &s.QuotaWindow, "quota-window", "5s", loader.Duration(time.Second, 10*time.Minute), "sliding window in which the requests of an account are counted")
	loader.Add(l, &s.QuotaOverage, "quota-overage", "0", loader.Float(0, 10), "part by which the fleet may exceed the rate and burst of an account in a window")
	loader.Add(l, &s.QuotaSlack, "quota-slack", "0", loader.Float(0, 1e6), "additional requests of an account per window and fleet beyond its rate, burst and overage")
	loader.Add(l, &s.RolloutShare, "rollout-share", "0", loader.Float(0, 0.5), "maximum share of a service's calls that go to a release while it is tried; 0 means that releases are not tried, and that upstreams of all releases are served alike")
	loader.Add(l, &s.AnnouncePeriod, "announce-period", "1500ms", loader.Duration(100*time.Millisecond, time.Minute), "expected time between two announcements of the upstream; after three periods without one, the upstream becomes unavailable", loader.Reloadable)
	loader.Add(l, &s.MaxHeader, "max-header", "65536", loader.Int(1024, parser.MaxHeaderBytes), "maximum size of a request header in bytes; a limit in the configuration takes precedence", loader.Reloadable)
	loader.Add(l, &s.MaxBody, "max-body", "1073741824", loader.Int(0, parser.MaxBodyBytes), "maximum size of a request body in bytes; a limit in the configuration takes precedence", loader.Reloadable)
	loader.Add(l, &s.HeaderTimeout, "header-timeout", "10s", loader.Duration(time.Millisecond, parser.MaxWait), "maximum time to receive a request header; a limit in the configuration takes precedence", loader.Reloadable)
	loader.Add(l, &s.IdleTimeout, "idle-timeout", "2m", loader.Duration(time.Millisecond, parser.MaxIdle), "time after which an idle caller connection is closed; a limit in the configuration takes precedence", loader.Reloadable)
	loader.Add(l, &s.Memory, "memory", "0", loader.Int(0, 1<<20), "memory of the machine in MB; callers' connections hold at most a quarter of it, beyond which the costliest are closed; 0 sets no bound")
	loader.Add(l, &s.Descriptors, "descriptors", "0", loader.Int(0, 1<<20), "descriptors that the process may open; callers' connections use at most three quarters of them but for 32, beyond which the least active are closed; 0 sets no bound")
	loader.Add(l, &s.LogLevel, "log-level", "info", loader.Choice("debug", "info", "warn", "error"), "minimum level of logged messages", loader.Reloadable)
	l.AddFile()
	l.Check(s.checkTLS)
	l.Check(s.checkAddresses)
}

// limits returns the limits for callers from the node's settings.
func (s *Settings) limits() sycamorerun.Limits {
	return sycamorerun.Limits{
		Header: s.MaxHeader, Body: s.MaxBody,
		Wait: sycamorerun.Duration(s.HeaderTimeout), Idle: sycamorerun.Duration(s.IdleTimeout),
	}
}

func adminHash() loader.Kind[string] {
	kind := loader.Pattern(`^(sha256:[0-9a-f]{64})?$`, `"sha256:" and 64 hex digits, or nothing`)
	kind.Secret = true
	return kind
}

// peerListenAddress returns the address to listen on for peers.
func (s *Settings) peerListenAddress() netip.AddrPort {
	if s.Listen.IsValid() {
		return s.Listen
	}
	return s.Peers
}

// checkTLS returns a fault unless either all TLS files or only Insecure is set, so that
// no node connects to peers without authentication by mistake.
func (s *Settings) checkTLS() []loader.Fault {
	set := s.CA != "" && s.Certificate != "" && s.Key != ""
	some := s.CA != "" || s.Certificate != "" || s.Key != ""
	switch {
	case s.Insecure && some:
		return []loader.Fault{{Name: "insecure-peers", Value: "true", Allowed: "false when a TLS file is set"}}
	case !s.Insecure && !set:
		return []loader.Fault{{Name: "tls-ca", Value: s.CA, Allowed: "tls-ca, tls-cert and tls-key together, or insecure-peers alone"}}
	}
	return nil
}

func (s *Settings) checkAddresses() []loader.Fault {
	var faults []loader.Fault
	if s.Peers.Addr().IsUnspecified() {
		faults = append(faults, loader.Fault{Name: "peers", Value: s.Peers.String(), Allowed: "an address that peers can dial, not the unspecified one"})
	}
	if s.Callers == s.Operators || s.Callers == s.Peers || s.Operators == s.Peers {
		faults = append(faults, loader.Fault{Name: "callers", Value: s.Callers.String(), Allowed: "callers, peers and operators on three addresses"})
	}
	return faults
}
