// Package deployer starts a small fleet on loopback for tests and
// measurements: the stand-in store, nodes in availability zones with upstreams
// beside them, and relays between them for failures of the network.
package deployer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sycamorerun/api/gen/settings"
	"sycamorerun/bench/launcher"
	"sycamorerun/bench/observer"
	"sycamorerun/bench/relayer"
	"sycamorerun/ctl/issuer"
	"sycamorerun/ctl/requester"
	"sycamorerun/upstream/recorder"
)

const (
	readyTimeout   = 30 * time.Second
	readyInterval  = 20 * time.Millisecond
	controlTimeout = 5 * time.Second
	certificateAge = 24 * time.Hour
)

// Node is one node of the fleet with its upstream.
type Node struct {
	Name      string
	Zone      Zone
	Service   string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Upstream and Control are the addresses of the upstream beside it.
	Upstream netip.AddrPort
	Control  netip.AddrPort

	Process         *launcher.Process
	UpstreamProcess *launcher.Process

	args []string
}

// Fleet is a running fleet.
type Fleet struct {
	Spec     Spec
	Nodes    []*Node
	Observer *observer.Observer
	Store    *launcher.Process

	guard      net.Listener
	launcher   *launcher.Launcher
	storeAt    netip.AddrPort
	nodeRelays map[string]*relayer.Relayer
	zoneRelays map[string]*relayer.Relayer
	tokens     map[string]string
	adminHash  string

	mutex sync.Mutex
	logs  map[string]*os.File
	// cut holds the zones that are cut off from all others and the store.
	cut map[string]bool
	// frozen holds the zones whose open connections stand still.
	frozen map[string]bool
	// silent holds the zones whose open connections are just made silent, degraded
	// the added jitter and loss of zones.
	silent   map[string]bool
	degraded map[string]relayer.Rule
	// apart holds the pairs of zones that are cut off from each other alone.
	apart map[[2]string]bool
}

// New prepares a fleet; nothing runs before Start.
func New(spec Spec) (*Fleet, error) {
	guard, err := spec.reserve()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		guard: guard,
		Spec:  spec, Observer: observer.New(), storeAt: spec.address(0, 1, portStore),
		nodeRelays: map[string]*relayer.Relayer{}, zoneRelays: map[string]*relayer.Relayer{},
		tokens: map[string]string{}, logs: map[string]*os.File{}, cut: map[string]bool{}, frozen: map[string]bool{}, apart: map[[2]string]bool{},
		silent: map[string]bool{}, degraded: map[string]relayer.Rule{},
	}
	f.tokens["admin"], f.adminHash = issuer.Token()
	f.launcher = &launcher.Launcher{Binaries: spec.Binaries, HandleLine: f.line}
	err = issuer.Keys(time.Now(), filepath.Join(spec.Directory, "keys"), issuer.Request{
		Names: []string{"sycamorerun"}, Lifetime: certificateAge, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	})
	return f, errors.Wrap(err, "make keys")
}

// line takes a line that a process logged.
func (f *Fleet) line(process, line string) {
	f.Observer.HandleLine(process, line)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.logs[process]
	if file == nil {
		var err error
		if file, err = os.Create(filepath.Join(f.Spec.Directory, process+".log")); err != nil {
			return
		}
		f.logs[process] = file
	}
	fmt.Fprintln(file, line)
}

// Start starts the store and all nodes and waits until they are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartStore(ctx); err != nil {
		return err
	}
	if f.Spec.Relays {
		if err := f.startZoneRelays(); err != nil {
			return err
		}
	}
	for z, zone := range f.Spec.Zones {
		for n := range zone.Nodes {
			node, err := f.prepare(z, n, zone)
			if err != nil {
				return err
			}
			f.Nodes = append(f.Nodes, node)
		}
	}
	for _, node := range f.Nodes {
		if err := f.StartNode(ctx, node); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx, f.Nodes...)
}

// StartStore starts the stand-in store; all objects of an earlier one are gone.
func (f *Fleet) StartStore(ctx context.Context) error {
	var err error
	f.Store, err = f.launcher.Start(ctx, "store", "srstore", "--listen", f.storeAt.String())
	return err
}

func (f *Fleet) startZoneRelays() error {
	for z, zone := range f.Spec.Zones {
		relay, err := relayer.New(f.Spec.address(uint8(z+1), hostStore, portStore), f.storeAt)
		if err != nil {
			return err
		}
		f.zoneRelays[zone.Name] = relay
	}
	f.applyRules()
	return nil
}

// prepare lays out node n of zone z.
func (f *Fleet) prepare(z, n int, zone Zone) (*Node, error) {
	number, host := uint8(z+1), uint8(n+1)
	service := ""
	if len(zone.Services) > 0 {
		service = zone.Services[n]
	} else {
		service = f.Spec.Services[len(f.Nodes)%len(f.Spec.Services)]
	}
	node := &Node{
		Name: fmt.Sprintf("%s-n%d", zone.Name, n+1), Zone: zone,
		Service:   service,
		Callers:   f.Spec.address(number, host, portCallers),
		Operators: f.Spec.address(number, host, portOperators),
		Peers:     f.Spec.address(number, host, portPeers),
		Upstream:  f.Spec.address(number, host, portUpstream),
		Control:   f.Spec.address(number, host, portControl),
	}
	store := f.storeAt
	announced := node.Peers
	if f.Spec.Relays {
		relay, err := relayer.New(f.Spec.address(number, host, portRelay), node.Peers)
		if err != nil {
			return nil, err
		}
		f.nodeRelays[node.Name] = relay
		relay.Apply(f.ruleTo(zone))
		announced = relay.Address()
		store = f.zoneRelays[zone.Name].Address()
	}
	keys := filepath.Join(f.Spec.Directory, "keys")
	node.args = append([]string{
		"--name", node.Name, "--availability-zone", zone.Name, "--region", zone.Region,
		"--callers", node.Callers.String(), "--operators", node.Operators.String(),
		"--peers", announced.String(), "--listen-peers", node.Peers.String(), "--store", store.String(),
		"--admin-hash", f.adminHash,
		"--tls-ca", filepath.Join(keys, issuer.FileCA), "--tls-cert", filepath.Join(keys, issuer.FileCert),
		"--tls-key", filepath.Join(keys, issuer.FileKey),
	}, f.Spec.NodeArgs...)
	return node, nil
}

// StartNode starts a node and its upstream, again after a Kill as well.
func (f *Fleet) StartNode(ctx context.Context, node *Node) error {
	f.Observer.Forget(node.Name)
	var err error
	if node.Process, err = f.launcher.Start(ctx, node.Name, "srnode", node.args...); err != nil {
		return err
	}
	if !f.Spec.Upstreams || node.UpstreamProcess != nil {
		return nil
	}
	return f.StartUpstream(ctx, node)
}

// StartUpstream starts the upstream beside a node.
func (f *Fleet) StartUpstream(ctx context.Context, node *Node) error {
	var err error
	node.UpstreamProcess, err = f.launcher.Start(ctx, node.Name+"-upstream", "srupstream", append([]string{
		"--name", node.Name, "--service", node.Service, "--listen", node.Upstream.String(),
		"--control", node.Control.String(), "--node", node.Operators.String(),
		"--callers", node.Callers.String(), "--journal", f.journal(node),
	}, slices.Concat(f.Spec.UpstreamArgs, f.Spec.ServiceArgs[node.Service])...)...)
	return err
}

func (f *Fleet) journal(node *Node) string {
	return filepath.Join(f.Spec.Directory, node.Name+".journal")
}

// Journal returns the runs and uploads of the upstreams that ran beside a
// node, also of killed ones.
func (f *Fleet) Journal(node *Node) (recorder.Records, error) {
	file, err := os.Open(f.journal(node))
	if err != nil {
		return recorder.Records{}, errors.Wrap(err, "journal")
	}
	defer file.Close()
	return recorder.Replay(file)
}

// Events returns the journal of the upstreams that ran beside a node, also of
// killed ones.
func (f *Fleet) Events(node *Node) ([]recorder.Event, error) {
	file, err := os.Open(f.journal(node))
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	defer file.Close()
	return recorder.Events(file)
}

// Stop ends everything.
func (f *Fleet) Stop() {
	f.Heal()
	f.launcher.Stop()
	_ = f.guard.Close()
	for _, relay := range f.nodeRelays {
		relay.Close()
	}
	for _, relay := range f.zoneRelays {
		relay.Close()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, file := range f.logs {
		_ = file.Close()
	}
}

// Node returns the node with name.
func (f *Fleet) Node(name string) *Node {
	for _, node := range f.Nodes {
		if node.Name == name {
			return node
		}
	}
	panic("no node " + name)
}

// NodesIn returns the nodes of a zone.
func (f *Fleet) NodesIn(zone string) []*Node {
	return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return n.Zone.Name != zone })
}

// WaitReady waits until the nodes take calls.
func (f *Fleet) WaitReady(ctx context.Context, nodes ...*Node) error {
	for _, node := range nodes {
		err := Eventually(ctx, readyTimeout, func() bool {
			status, _, err := Get(ctx, node.Operators, "/readyz")
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return errors.Wrapf(err, "%s is not ready", node.Name)
		}
	}
	return nil
}

// Eventually checks a condition until it holds or limit has passed.
func Eventually(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Errorf("condition not met within %s", limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyInterval):
		}
	}
	return nil
}

// Get reads a page of a process.
func Get(ctx context.Context, address netip.AddrPort, path string) (int, []byte, error) {
	return exchange(ctx, http.MethodGet, address, path, "", nil)
}

// Read reads a page of a node's API as an operator into value.
func (f *Fleet) Read(ctx context.Context, operator string, node *Node, path string, value any) error {
	status, body, err := exchange(ctx, http.MethodGet, node.Operators, path, f.tokens[operator], nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("read %s of %s: status %d: %s", path, node.Name, status, body)
	}
	return errors.Wrapf(json.Unmarshal(body, value), "read %s of %s", path, node.Name)
}

// Put sends a JSON value to a process.
func Put(ctx context.Context, address netip.AddrPort, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	status, text, err := exchange(ctx, http.MethodPut, address, path, "", body)
	if err == nil && status >= http.StatusBadRequest {
		err = errors.Errorf("PUT %s%s: status %d: %s", address, path, status, text)
	}
	return err
}

func exchange(ctx context.Context, method string, address netip.AddrPort, path, token string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "request")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "request")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, errors.Wrap(err, "read answer")
}

// SetStoreFaults replaces the store's fault plan.
func (f *Fleet) SetStoreFaults(ctx context.Context, plan any) error {
	return Put(ctx, f.storeAt, "/faults", plan)
}

// DeclareTeams declares teams with one operator each, and review with two. It is the
// first change of a fleet.
func (f *Fleet) DeclareTeams(ctx context.Context, modes map[string]string) error {
	var text strings.Builder
	text.WriteString("team: admin\nteams:\n")
	for team, mode := range modes {
		fmt.Fprintf(&text, "  %s:\n    mode: %s\n    operators:\n", team, mode)
		for _, operator := range []string{team, team + "-reviewer"} {
			token, hash := issuer.Token()
			f.tokens[operator] = token
			fmt.Fprintf(&text, "      - {name: %s, hash: %q}\n", operator, hash)
		}
	}
	outcome, err := f.Apply(ctx, "admin", "admin", text.String(), f.Nodes[0])
	if err == nil && outcome.Status != "accepted" {
		err = errors.Errorf("teams %s: %+v", outcome.Status, outcome.Faults)
	}
	return err
}

// Apply submits settings as an operator through nodes, in their order.
func (f *Fleet) Apply(ctx context.Context, operator, team, text string, nodes ...*Node) (*settings.Outcome, error) {
	return f.Change(ctx, operator, &settings.SubmitPayload{
		ID: uuid.NewString(), Kind: "apply", Team: team, Settings: &text,
	}, nodes...)
}

// Change submits a change as an operator through nodes, in their order.
func (f *Fleet) Change(ctx context.Context, operator string, payload *settings.SubmitPayload, nodes ...*Node) (*settings.Outcome, error) {
	r, err := f.Requester(operator, nodes...)
	if err != nil {
		return nil, err
	}
	payload.Token = r.Authorization()
	return r.Change(ctx, payload)
}

// Requester returns a client of the nodes for an operator.
func (f *Fleet) Requester(operator string, nodes ...*Node) (*requester.Requester, error) {
	var servers []string
	for _, node := range nodes {
		servers = append(servers, node.Operators.String())
	}
	r, err := requester.New(servers)
	if err != nil {
		return nil, err
	}
	r.Token = f.tokens[operator]
	return r, nil
}

// WaitVersion waits until count nodes have applied version.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, count int, limit time.Duration) error {
	err := Eventually(ctx, limit, func() bool { return f.Observer.Count(version) >= count })
	return errors.Wrapf(err, "version %s on %d of %d nodes", strconv.FormatUint(version, 10), f.Observer.Count(version), count)
}

// SetSeeds gives a node its first peers by its settings, for its next start.
func (f *Fleet) SetSeeds(node *Node, peers ...*Node) {
	var addresses []string
	for _, peer := range peers {
		address := peer.Peers
		if relay := f.nodeRelays[peer.Name]; relay != nil {
			address = relay.Address()
		}
		addresses = append(addresses, address.String())
	}
	node.args = append(node.args, "--seeds", strings.Join(addresses, ","))
}
