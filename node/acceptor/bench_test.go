package acceptor

import (
	"fmt"
	"net/netip"
	"os"
	"testing"

	"github.com/google/uuid"

	"sycamorerun"
	"sycamorerun/persister"
)

// BenchmarkCommit measures the cost of a change by batch size and tree size, without
// validation. If SYCAMORERUN_STORE is the address of an empty srstore without rate
// limits, the benchmark uses that store over HTTP.
func BenchmarkCommit(b *testing.B) {
	for _, teams := range []int{10, 400} {
		for _, size := range []int{1, 8, MaxBatch} {
			b.Run(fmt.Sprintf("teams=%d/batch=%d", teams, size), func(b *testing.B) { benchmarkCommit(b, teams, size) })
		}
	}
}

func benchmarkCommit(b *testing.B, teams, size int) {
	f := newFake()
	a := New(f.store())
	if address := os.Getenv("SYCAMORERUN_STORE"); address != "" {
		a.Store = persister.NewClient(persister.ClientConfig{Address: netip.MustParseAddrPort(address)})
	}
	submit := func(changes []sycamorerun.Change) {
		for i := range changes {
			changes[i].ID = uuid.NewString()
		}
		for _, outcome := range commitAll(b, a, changes...) {
			if outcome.Status != sycamorerun.StatusAccepted {
				b.Fatal(outcome)
			}
		}
	}
	admin := bootstrap()
	for team := range teams {
		admin.Items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, fmt.Sprint("team-", team))] = item(sycamorerun.Team{Mode: sycamorerun.ModeFlow})
	}
	submit([]sycamorerun.Change{admin})
	for team := range teams {
		submit([]sycamorerun.Change{settingsChange(team, 0)})
	}
	f.calls, f.bytes = map[string]int{}, 0
	b.ResetTimer()
	for n := 0; n < b.N; n += size {
		var changes []sycamorerun.Change
		for i := range min(size, b.N-n) {
			changes = append(changes, settingsChange((n+i)%teams, n+i))
		}
		submit(changes)
	}
	b.StopTimer()
	if os.Getenv("SYCAMORERUN_STORE") == "" {
		b.ReportMetric(float64(f.calls["get"]+f.calls["list"])/float64(b.N), "reads/change")
		b.ReportMetric(float64(f.calls["put"])/float64(b.N), "writes/change")
		b.ReportMetric(float64(f.bytes)/float64(b.N), "storeB/change")
	}
}

// settingsChange returns a change to a subtree of one service and four routes. Only
// the service depends on round.
func settingsChange(team, round int) sycamorerun.Change {
	name := fmt.Sprint("team-", team)
	change := apply("", name, 6+round%8)
	for i := range 4 {
		change.Items[sycamorerun.NewPath(name, sycamorerun.KindRoute, fmt.Sprint("route-", i))] = item(sycamorerun.Route{
			Hosts: []string{name + ".example"}, Prefix: fmt.Sprint("/v", i), Class: sycamorerun.Interactive, Repeat: sycamorerun.RepeatDefault,
			Split: []sycamorerun.Target{{Service: name, Weight: 100}},
		})
	}
	return change
}
