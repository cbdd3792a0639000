package system

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/deployer"
)

// convergenceLimit is the users' bound on the time until all nodes have applied
// an accepted change.
const convergenceLimit = 7 * time.Second

// binaryDir is the directory of the built programs.
var binaryDir string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sycamorerun-system")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaryDir = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"sycamorerun/node/cmd/srnode", "sycamorerun/objectstore/cmd/srstore", "sycamorerun/upstream/cmd/srupstream")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// start starts a fleet and waits until the settings of teams quoting and surveys
// are applied at all nodes.
func start(t *testing.T, spec deployer.Spec) *deployer.Fleet {
	t.Helper()
	fleet := startEmpty(t, spec)
	configure(t, fleet)
	return fleet
}

// startEmpty starts a fleet without any accepted change.
func startEmpty(t *testing.T, spec deployer.Spec) *deployer.Fleet {
	t.Helper()
	is := is.New(t)
	spec.Binaries, spec.Directory = binaryDir, t.TempDir()
	if spec.Services == nil {
		spec.Services = []string{"quote-desk", "survey-store"}
	}
	fleet, err := deployer.New(spec)
	is.NoErr(err)
	t.Cleanup(func() {
		fleet.Stop()
		if nodes := fleet.Observer.Regressions(); len(nodes) > 0 {
			t.Errorf("nodes applied an older version after a newer one: %v", nodes)
		}
		if t.Failed() {
			logProcessOutput(t, spec.Directory)
		}
	})
	is.NoErr(fleet.Start(t.Context()))
	return fleet
}

// configure declares three teams, applies the settings of quoting and surveys and
// waits until all nodes have applied them.
func configure(t *testing.T, fleet *deployer.Fleet) {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	is.NoErr(fleet.DeclareTeams(ctx, map[string]string{"quoting": "flow", "surveys": "flow", "careful": "review"}))
	apply(t, fleet, "surveys", surveysSettings, fleet.Nodes[0])
	version := apply(t, fleet, "quoting", quotingSettings("/quotes"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), convergenceLimit))
}

// startBookings starts a node and an upstream in each zone and applies the first
// change once all nodes know each other, so that no key can have run before.
func startBookings(t *testing.T, args ...string) *deployer.Fleet {
	t.Helper()
	fleet := startEmpty(t, deployer.Spec{
		Zones: deployer.ReferenceZones(1), Upstreams: true, Services: []string{"quote-desk"}, NodeArgs: args,
	})
	waitAllReady(t, fleet, "admin")
	configure(t, fleet)
	return fleet
}

// logProcessOutput logs the end of the log file of each process.
func logProcessOutput(t *testing.T, directory string) {
	files, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		const maxBytes = 1500
		t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-maxBytes):])
	}
}

// apply submits settings and returns the accepted version. It fails the test
// when they are not accepted.
func apply(t *testing.T, fleet *deployer.Fleet, team, text string, nodes ...*deployer.Node) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	outcome, err := fleet.Apply(ctx, team, team, text, nodes...)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	if outcome.Status != "accepted" {
		t.Fatalf("apply: %s %+v", outcome.Status, outcome.Faults)
	}
	return *outcome.Version
}

// quotingSettings returns settings of team quoting with prefix as the prefix of
// route quotes.
func quotingSettings(prefix string) string {
	return fmt.Sprintf(`team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 5s, idle: 2s, warmup: 0s}
routes:
  quotes:
    hosts: [quotes.example]
    prefix: %s
    class: interactive
    split: [{service: quote-desk, weight: 100}]
  bookings:
    hosts: [bookings.example]
    prefix: /
    class: interactive
    split: [{service: quote-desk, weight: 100}]
`, prefix)
}

const surveysSettings = `team: surveys
services:
  survey-store: {slots: 6, queue: 12, connections: 130, timeout: 20s, idle: 5s, warmup: 0s}
routes:
  photos:
    hosts: [surveys.example]
    prefix: /
    class: bulk
    split: [{service: survey-store, weight: 100}]
`
