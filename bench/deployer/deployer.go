// Package deployer starts a small fleet on loopback for tests and measurements: the
// stand-in store, nodes in availability zones with an upstream beside each, and
// relays between them that inject network faults.
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
	readyTimeout        = 30 * time.Second
	pollInterval        = 20 * time.Millisecond
	requestTimeout      = 5 * time.Second
	certificateLifetime = 24 * time.Hour
)

// Node is a node of the fleet with the upstream beside it.
type Node struct {
	Name      string
	Zone      Zone
	Service   string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Upstream and Control are the listeners of the upstream for requests and for its
	// control API.
	Upstream netip.AddrPort
	Control  netip.AddrPort

	Process         *launcher.Process
	UpstreamProcess *launcher.Process

	args []string
}

// Fleet is a fleet of processes on loopback.
type Fleet struct {
	Spec     Spec
	Nodes    []*Node
	Observer *observer.Observer
	Store    *launcher.Process

	reservation  net.Listener
	launcher     *launcher.Launcher
	storeAddress netip.AddrPort
	nodeRelays   map[string]*relayer.Relayer
	zoneRelays   map[string]*relayer.Relayer
	tokens       map[string]string
	adminHash    string

	mutex    sync.Mutex
	logFiles map[string]*os.File
	// partitioned has the zones that are cut off from all others and the store.
	partitioned map[string]bool
	// frozen has the zones whose connections stay open without forwarding data.
	frozen map[string]bool
	// blackholed has the zones whose open connections are being blackholed, degraded
	// the added jitter and loss of zones.
	blackholed map[string]bool
	degraded   map[string]relayer.Rule
	// separated has the pairs of zones that are cut off from each other only.
	separated map[[2]string]bool
}

// New returns a fleet with a reserved network and TLS keys. Start starts its
// processes.
func New(spec Spec) (*Fleet, error) {
	reservation, err := spec.reserveNetwork()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		reservation: reservation,
		Spec:        spec, Observer: observer.New(), storeAddress: spec.address(0, 1, portStore),
		nodeRelays: map[string]*relayer.Relayer{}, zoneRelays: map[string]*relayer.Relayer{},
		tokens: map[string]string{}, logFiles: map[string]*os.File{}, partitioned: map[string]bool{}, frozen: map[string]bool{}, separated: map[[2]string]bool{},
		blackholed: map[string]bool{}, degraded: map[string]relayer.Rule{},
	}
	f.tokens["admin"], f.adminHash = issuer.Token()
	f.launcher = &launcher.Launcher{Binaries: spec.Binaries, HandleLine: f.handleLine}
	err = issuer.Keys(time.Now(), filepath.Join(spec.Directory, "keys"), issuer.Request{
		Names: []string{"sycamorerun"}, Lifetime: certificateLifetime, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	})
	return f, errors.Wrap(err, "issue TLS keys")
}

// handleLine passes a log line of a process to the observer and writes it to the log
// file of the process.
func (f *Fleet) handleLine(process, line string) {
	f.Observer.HandleLine(process, line)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	file := f.logFiles[process]
	if file == nil {
		var err error
		if file, err = os.Create(filepath.Join(f.Spec.Directory, process+".log")); err != nil {
			return
		}
		f.logFiles[process] = file
	}
	fmt.Fprintln(file, line)
}

// Start starts the store and all nodes and waits until the nodes are ready.
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
			node, err := f.prepareNode(z, n, zone)
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

// StartStore starts the stand-in store, which is empty after each start.
func (f *Fleet) StartStore(ctx context.Context) error {
	var err error
	f.Store, err = f.launcher.Start(ctx, "store", "srstore", "--listen", f.storeAddress.String())
	return err
}

func (f *Fleet) startZoneRelays() error {
	for z, zone := range f.Spec.Zones {
		relay, err := relayer.New(f.Spec.address(uint8(z+1), hostStore, portStore), f.storeAddress)
		if err != nil {
			return err
		}
		f.zoneRelays[zone.Name] = relay
	}
	f.applyRules()
	return nil
}

// prepareNode returns node n of zone z with its addresses and arguments, and starts
// its relay.
func (f *Fleet) prepareNode(z, n int, zone Zone) (*Node, error) {
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
	store := f.storeAddress
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

// StartNode starts a node, also after it was killed, and its upstream unless that
// was started before.
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
		"--callers", node.Callers.String(), "--journal", f.journalPath(node),
	}, slices.Concat(f.Spec.UpstreamArgs, f.Spec.ServiceArgs[node.Service])...)...)
	return err
}

func (f *Fleet) journalPath(node *Node) string {
	return filepath.Join(f.Spec.Directory, node.Name+".journal")
}

// Journal returns the executions and uploads of all upstream processes that ran
// beside a node, including killed ones.
func (f *Fleet) Journal(node *Node) (recorder.Records, error) {
	file, err := os.Open(f.journalPath(node))
	if err != nil {
		return recorder.Records{}, errors.Wrap(err, "open journal")
	}
	defer file.Close()
	return recorder.Replay(file)
}

// Events returns the journal of all upstream processes that ran beside a node,
// including killed ones.
func (f *Fleet) Events(node *Node) ([]recorder.Event, error) {
	file, err := os.Open(f.journalPath(node))
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	defer file.Close()
	return recorder.Events(file)
}

// Stop stops all processes and relays.
func (f *Fleet) Stop() {
	f.Heal()
	f.launcher.Stop()
	_ = f.reservation.Close()
	for _, relay := range f.nodeRelays {
		relay.Close()
	}
	for _, relay := range f.zoneRelays {
		relay.Close()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, file := range f.logFiles {
		_ = file.Close()
	}
}

// Node returns the node with a name and panics if there is none.
func (f *Fleet) Node(name string) *Node {
	for _, node := range f.Nodes {
		if node.Name == name {
			return node
		}
	}
	panic("no node " + name)
}

// NodesIn returns the nodes in a zone.
func (f *Fleet) NodesIn(zone string) []*Node {
	return slices.DeleteFunc(slices.Clone(f.Nodes), func(n *Node) bool { return n.Zone.Name != zone })
}

// WaitReady waits until the nodes report that they are ready.
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

// Eventually polls a condition until it holds. It returns an error when limit has
// passed or ctx has ended.
func Eventually(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Errorf("condition not met within %s", limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Get sends a GET request to a process and returns the status and the body.
func Get(ctx context.Context, address netip.AddrPort, path string) (int, []byte, error) {
	return doRequest(ctx, http.MethodGet, address, path, "", nil)
}

// Read sends a GET request to the API of a node as an operator and decodes the JSON
// response into value.
func (f *Fleet) Read(ctx context.Context, operator string, node *Node, path string, value any) error {
	status, body, err := doRequest(ctx, http.MethodGet, node.Operators, path, f.tokens[operator], nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("read %s of %s: status %d: %s", path, node.Name, status, body)
	}
	return errors.Wrapf(json.Unmarshal(body, value), "read %s of %s", path, node.Name)
}

// Put sends a PUT request with a JSON value to a process.
func Put(ctx context.Context, address netip.AddrPort, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	status, text, err := doRequest(ctx, http.MethodPut, address, path, "", body)
	if err == nil && status >= http.StatusBadRequest {
		err = errors.Errorf("PUT %s%s: status %d: %s", address, path, status, text)
	}
	return err
}

func doRequest(ctx context.Context, method string, address netip.AddrPort, path, token string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, errors.Wrap(err, "read response body")
}

// SetStoreFaults replaces the fault plan of the store.
func (f *Fleet) SetStoreFaults(ctx context.Context, plan any) error {
	return Put(ctx, f.storeAddress, "/faults", plan)
}

// DeclareTeams submits the change that declares teams. It must be the first change of
// a fleet. Each team has the operators TEAM and TEAM-reviewer.
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
		err = errors.Errorf("declare teams: change %s: %+v", outcome.Status, outcome.Faults)
	}
	return err
}

// Apply submits the settings of a team as an operator. It tries the nodes in their
// order.
func (f *Fleet) Apply(ctx context.Context, operator, team, text string, nodes ...*Node) (*settings.Outcome, error) {
	return f.Change(ctx, operator, &settings.SubmitPayload{
		ID: uuid.NewString(), Kind: "apply", Team: team, Settings: &text,
	}, nodes...)
}

// Change submits a change as an operator. It tries the nodes in their order.
func (f *Fleet) Change(ctx context.Context, operator string, payload *settings.SubmitPayload, nodes ...*Node) (*settings.Outcome, error) {
	r, err := f.Requester(operator, nodes...)
	if err != nil {
		return nil, err
	}
	payload.Token = r.Authorization()
	return r.Change(ctx, payload)
}

// Requester returns a client of the operator API of the nodes for an operator.
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

// WaitVersion waits until at least count nodes have applied version.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, count int, limit time.Duration) error {
	err := Eventually(ctx, limit, func() bool { return f.Observer.Count(version) >= count })
	return errors.Wrapf(err, "version %s applied by %d of %d nodes", strconv.FormatUint(version, 10), f.Observer.Count(version), count)
}

// SetSeeds sets the peers that a node contacts first, from its next start on.
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
