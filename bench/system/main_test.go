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

// converged is the users' bound on the time until a change is in force
// everywhere.
const converged = 7 * time.Second

// binaries is the directory of the programs.
var binaries string

// TestMain builds the programs once.
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
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"sycamorerun/node/cmd/srnode", "sycamorerun/objectstore/cmd/srstore", "sycamorerun/upstream/cmd/srupstream")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// start starts a fleet with two teams declared and the route of team quoting
// to its service in force.
func start(t *testing.T, spec deployer.Spec) *deployer.Fleet {
	t.Helper()
	fleet := startEmpty(t, spec)
	configure(t, fleet)
	return fleet
}

// startEmpty starts a fleet that has no version yet.
func startEmpty(t *testing.T, spec deployer.Spec) *deployer.Fleet {
	t.Helper()
	is := is.New(t)
	spec.Binaries, spec.Directory = binaries, t.TempDir()
	if spec.Services == nil {
		spec.Services = []string{"quote-desk", "survey-store"}
	}
	fleet, err := deployer.New(spec)
	is.NoErr(err)
	t.Cleanup(func() {
		fleet.Stop()
		if back := fleet.Observer.Regressions(); len(back) > 0 {
			t.Errorf("nodes went back to an older version: %v", back)
		}
		if t.Failed() {
			keepLogs(t, spec.Directory)
		}
	})
	is.NoErr(fleet.Start(t.Context()))
	return fleet
}

// configure declares the teams and applies the settings of two of them.
func configure(t *testing.T, fleet *deployer.Fleet) {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	is.NoErr(fleet.DeclareTeams(ctx, map[string]string{"quoting": "flow", "surveys": "flow", "careful": "review"}))
	apply(t, fleet, "surveys", surveys, fleet.Nodes[0])
	version := apply(t, fleet, "quoting", quoting("/quotes"), fleet.Nodes[0])
	is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), converged))
}

// startBookings starts one node with an upstream in each zone, which all know
// each other before the first version, so that no key can have run before.
func startBookings(t *testing.T, args ...string) *deployer.Fleet {
	t.Helper()
	fleet := startEmpty(t, deployer.Spec{
		Zones: deployer.ReferenceZones(1), Upstreams: true, Services: []string{"quote-desk"}, NodeArgs: args,
	})
	waitKnown(t, fleet, "admin")
	configure(t, fleet)
	return fleet
}

// keepLogs prints the end of each process's log of a failed test.
func keepLogs(t *testing.T, directory string) {
	files, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		const most = 1500
		t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-most):])
	}
}

// apply submits settings, requires that they are accepted and returns the
// version.
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

// quoting returns settings of team quoting with the route's prefix.
func quoting(prefix string) string {
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

const surveys = `team: surveys
services:
  survey-store: {slots: 6, queue: 12, connections: 130, timeout: 20s, idle: 5s, warmup: 0s}
routes:
  photos:
    hosts: [surveys.example]
    prefix: /
    class: bulk
    split: [{service: survey-store, weight: 100}]
`
