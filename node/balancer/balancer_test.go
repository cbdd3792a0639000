package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var start = time.Unix(1000, 0)

// newInstance returns a ready instance with 6 slots in zone z of region r.
func newInstance(name, r, z string) sycamorerun.Instance {
	return sycamorerun.Instance{
		Name: name, Region: r, AvailabilityZone: z, State: sycamorerun.StateReady, Slots: 6,
		Since: start.Add(-time.Hour),
	}
}

func newInstances(r, z string, n int) []sycamorerun.Instance {
	var instances []sycamorerun.Instance
	for i := range n {
		instances = append(instances, newInstance(fmt.Sprint(r, z, i), r, z))
	}
	return instances
}

func newBalancer(instances []sycamorerun.Instance) *Balancer {
	b := New("z1", "r1")
	b.Instances = func(string) []sycamorerun.Instance { return instances }
	source := rand.New(rand.NewPCG(1, 2))
	b.Random = source.Float64
	return b
}

// countPicks makes n picks at now and returns their number per instance. If outcome
// is set, each call ends with it before the next pick.
func countPicks(b *Balancer, now time.Time, n int, outcome func(name string) Observation) map[string]int {
	counts := map[string]int{}
	for range n {
		picked, ok := b.Pick(now, Query{Service: "s"})
		if !ok {
			counts["none"]++
			continue
		}
		counts[picked.Name]++
		if outcome != nil {
			observation := outcome(picked.Name)
			observation.Instance = picked.Name
			b.Observe(now, observation)
		}
	}
	return counts
}

func success(string) Observation {
	return Observation{Result: sycamorerun.Answered, Status: 200, Load: &Load{Slots: 6}}
}

func sumOf(counts map[string]int, instances []sycamorerun.Instance) int {
	total := 0
	for _, instance := range instances {
		total += counts[instance.Name]
	}
	return total
}

// TestCold guards against giving a cold upstream the share of a warm one because the
// service has a shorter slow start, or none.
func TestCold(t *testing.T) {
	for name, warmup := range map[string]time.Duration{"no slow start": 0, "short slow start": time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := newInstances("r1", "z1", 2)
			all[0].State, all[0].Since = sycamorerun.StateCold, start.Add(-2*time.Second)
			b := newBalancer(all)
			b.Warmup = func(string) time.Duration { return warmup }
			chances := b.Chances(start, Query{Service: "s"})
			is.True(chances[0].Share < chances[1].Share/2)
			all[0].State = sycamorerun.StateReady
			chances = b.Chances(start, Query{Service: "s"})
			is.Equal(chances[0].Share, chances[1].Share)
		})
	}
}

// TestSpillover guards against calls that leave the zone while it has capacity, an
// abrupt rise of the spillover with the load, and spillover to another region before
// the same region.
func TestSpillover(t *testing.T) {
	near, region, beyond := newInstances("r1", "z1", 2), newInstances("r1", "z2", 2), newInstances("r2", "z1", 2)
	all := append(append(append([]sycamorerun.Instance{}, near...), region...), beyond...)
	is := is.New(t)
	is.Equal(sumOf(countPicks(newBalancer(all), start, 100, success), near), 100)
	previous := 0
	b := newBalancer(all)
	for step := range 6 {
		countPicks(b, start, 3, nil) // the calls stay in flight
		away := 0
		for _, chance := range b.Chances(start, Query{Service: "s"}) {
			if chance.Tier > 0 {
				away += int(chance.Share * 100)
			}
		}
		is.True(away >= previous-5)
		is.True(away-previous <= 60) // the rise is gradual
		if step < 2 {
			is.Equal(away, 0)
		}
		previous = away
	}
	is.True(previous > 0)
	counts := countPicks(newBalancer(all), start, 18, nil)
	is.True(sumOf(counts, region) >= sumOf(counts, beyond))
	is.Equal(sumOf(countPicks(newBalancer(beyond), start, 10, nil), beyond), 10) // there is no nearer instance
}

// TestLoad guards against a share of calls that does not follow the reported load,
// and against picking an instance that was already tried.
func TestLoad(t *testing.T) {
	is := is.New(t)
	instances := newInstances("r1", "z1", 4)
	b := newBalancer(instances)
	busy := instances[0].Name
	counts := countPicks(b, start, 400, func(name string) Observation {
		load := &Load{Slots: 6}
		if name == busy {
			load.Running = 6
		}
		return Observation{Result: sycamorerun.Answered, Status: 200, Load: load}
	})
	is.True(counts[busy] < 20)
	tried := Query{Service: "s", Tried: []string{"r1z10", "r1z11", "r1z12"}}
	picked, ok := b.Pick(start, tried)
	is.True(ok)
	is.Equal(picked.Name, "r1z13")
	_, ok = b.Pick(start, Query{Service: "s", Tried: append(tried.Tried, "r1z13")})
	is.Equal(ok, false)
}

// TestNoHerd guards against sending most calls to an upstream that looks idle. If its
// report is stale, it must not attract more than a usual share.
func TestNoHerd(t *testing.T) {
	for name, age := range map[string]time.Duration{"fresh": 0, "stale": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			instances := newInstances("r1", "z1", 5)
			b := newBalancer(instances)
			for _, instance := range instances[1:] {
				b.Observe(start.Add(age), Observation{Instance: instance.Name, Result: sycamorerun.Answered, Load: &Load{Running: 4, Slots: 6}})
			}
			b.Observe(start, Observation{Instance: instances[0].Name, Result: sycamorerun.Answered, Load: &Load{Slots: 6}})
			counts := countPicks(b, start.Add(age), 10, nil)
			is.True(counts[instances[0].Name] <= 5)
			if name == "stale" {
				is.True(counts[instances[0].Name] <= 4)
			}
		})
	}
}

// TestEjection guards against keeping an upstream that reports to be idle while calls
// to it fail, against ejecting more than half of a service, and against ejecting
// upstreams when all of them fail.
func TestEjection(t *testing.T) {
	bad := func(names ...string) func(string) Observation {
		return func(name string) Observation {
			for _, n := range names {
				if n == name {
					return Observation{Result: sycamorerun.Answered, Status: 500, Load: &Load{Slots: 6}}
				}
			}
			return success(name)
		}
	}
	instances := newInstances("r1", "z1", 4)
	cases := map[string]struct {
		bad     []string
		ejected int
	}{
		"one":        {[]string{"r1z10"}, 1},
		"two":        {[]string{"r1z10", "r1z11"}, 2},
		"half":       {[]string{"r1z10", "r1z11", "r1z12"}, 2},
		"all of it":  {[]string{"r1z10", "r1z11", "r1z12", "r1z13"}, 0},
		"none fails": {nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(instances)
			countPicks(b, start, 400, bad(c.bad...))
			ejected := 0
			for _, chance := range b.Chances(start, Query{}) {
				if chance.Ejected {
					is.Equal(chance.Share, 0.0)
					ejected++
				}
			}
			is.Equal(ejected, c.ejected)
			// After the ejection it gets few calls, and one failure ejects it again.
			later := start.Add(baseEjectionTime + time.Millisecond)
			counts := countPicks(b, later, 100, bad(c.bad...))
			if c.ejected == 1 {
				is.True(counts["r1z10"] <= 1)
			}
		})
	}
	is := is.New(t)
	is.Equal(countPicks(newBalancer(instances[:1]), start, 20, bad("r1z10"))["r1z10"], 20) // the only instance is not ejected
}

// TestRefusals guards against ejecting an upstream that is overloaded, and against
// keeping one that stops responding.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		result  sycamorerun.Result
		reason  string
		ejected bool
	}{
		"queue full":     {sycamorerun.NotRun, "queue-full", false},
		"shed":           {sycamorerun.NotRun, "shed", false},
		"late in queue":  {sycamorerun.NotRun, "deadline", false},
		"idle in queue":  {sycamorerun.NotRun, "idle", false},
		"link full":      {sycamorerun.NotRun, "link-full", false},
		"idle when run":  {sycamorerun.Unknown, "idle", true},
		"not reached":    {sycamorerun.NotRun, "peer-unreachable", true},
		"caller is gone": {sycamorerun.NotRun, "canceled", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newInstances("r1", "z1", 2))
			for range 2 * maxConsecutiveFailures {
				b.Observe(start, Observation{Instance: "r1z10", Result: c.result, Reason: c.reason})
			}
			for _, chance := range b.Chances(start, Query{Service: "s"}) {
				is.Equal(chance.Ejected, c.ejected && chance.Instance == "r1z10")
			}
		})
	}
}

// TestAvoided guards against picking an instance that has just refused a call or
// can't be reached, against avoiding it for too long, and against avoiding the only
// instance of a service.
func TestAvoided(t *testing.T) {
	const ms = time.Millisecond
	refused := func(reason string, after time.Duration, rank int) Observation {
		return Observation{Result: sycamorerun.NotRun, Reason: reason, After: after, Rank: rank}
	}
	cases := map[string]struct {
		observation     Observation
		times           int
		rank            int
		avoided, usable time.Duration
	}{
		"full":                 {refused("queue-full", 200*ms, 4), 1, 4, 199 * ms, 200 * ms},
		"busy":                 {refused("busy", 200*ms, 4), 1, 8, 199 * ms, 200 * ms},
		"link full":            {refused("link-full", 200*ms, 4), 1, 4, 199 * ms, 200 * ms},
		"link full for others": {refused("link-full", 200*ms, 8), 1, 9, -1, 0},
		"full, time unknown":   {refused("queue-full", 0, 4), 1, 4, 49 * ms, 50 * ms},
		"full for too long":    {refused("queue-full", time.Hour, 4), 1, 4, 999 * ms, time.Second},
		"full for later ranks": {refused("queue-full", 200*ms, 8), 1, 4, -1, 0},
		"draining":             {refused("draining", 0, 0), 1, 4, 4 * time.Second, 5 * time.Second},
		"no upstream":          {refused("no-upstream", 0, 0), 1, 4, 4 * time.Second, 5 * time.Second},
		"peer not reached":     {refused("peer-unreachable", 0, 0), 1, 4, 999 * ms, time.Second},
		"upstream not reached": {refused("upstream-unreachable", 0, 0), 1, 4, 999 * ms, time.Second},
		"not reached again":    {refused("peer-unreachable", 0, 0), 2, 4, 1999 * ms, 2 * time.Second},
		"not reached for long": {refused("peer-unreachable", 0, 0), 20, 4, 4999 * ms, 5 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newInstances("r1", "z1", 4))
			c.observation.Instance = "r1z10"
			now := start
			for n := range c.times {
				if n > 0 {
					now = now.Add(maxUnreachableTime)
				}
				b.Observe(now, c.observation)
			}
			share := func(at time.Duration) float64 {
				for _, chance := range b.Chances(now.Add(at), Query{Service: "s", Rank: c.rank}) {
					if chance.Instance == "r1z10" {
						return chance.Share
					}
				}
				return -1
			}
			if c.avoided >= 0 {
				is.Equal(share(0), 0.0)
				is.Equal(share(c.avoided), 0.0)
			}
			is.True(share(c.usable) > 0)
		})
	}
	is := is.New(t)
	b := newBalancer(newInstances("r1", "z1", 1))
	b.Observe(start, Observation{Instance: "r1z10", Result: sycamorerun.NotRun, Reason: "queue-full", After: time.Second})
	_, ok := b.Pick(start, Query{Service: "s", Rank: 4})
	is.True(ok)
}

// TestStates guards against giving a cold upstream its full share, and against calls
// to draining upstreams.
func TestStates(t *testing.T) {
	is := is.New(t)
	instances := newInstances("r1", "z1", 3)
	instances[0].State, instances[0].Since = sycamorerun.StateCold, start
	instances[1].State = sycamorerun.StateDraining
	instances = append(instances, newInstance("r1z14", "r1", "z1"))
	b := newBalancer(instances)
	b.Warmup = func(string) time.Duration { return 10 * time.Second }
	cold := countPicks(b, start, 300, success)
	is.Equal(cold["r1z11"], 0)
	is.True(cold["r1z10"] < 60)
	warm := countPicks(b, start.Add(10*time.Second), 300, success)
	is.True(warm["r1z10"] > cold["r1z10"])
	b.Observe(start, Observation{Instance: "r1z12", Result: sycamorerun.NotRun, Reason: "draining"})
	is.Equal(countPicks(b, start, 50, success)["r1z12"], 0)
}

// TestInFlight guards against wrong counts of calls in flight, and against statistics
// that are never deleted.
func TestInFlight(t *testing.T) {
	is := is.New(t)
	b := newBalancer(newInstances("r1", "z1", 2))
	countPicks(b, start, 50, success)
	for _, known := range b.stats {
		is.Equal(known.inFlight, 0)
	}
	b.Instances = func(string) []sycamorerun.Instance { return newInstances("r1", "z9", 1) }
	countPicks(b, start.Add(time.Hour), 1, nil)
	is.Equal(len(b.stats), 1)
}

// TestRoundRobin guards against a round-robin policy that does not pick all serving
// instances equally often. It is the baseline of the measurements.
func TestRoundRobin(t *testing.T) {
	is := is.New(t)
	instances := append(newInstances("r1", "z1", 2), newInstances("r2", "z1", 3)...)
	instances[1].State = sycamorerun.StateDraining
	b := newBalancer(instances)
	b.RoundRobin = true
	counts := countPicks(b, start, 40, success)
	is.Equal(counts, map[string]int{"r1z10": 10, "r2z10": 10, "r2z11": 10, "r2z12": 10})
	_, ok := b.Pick(start, Query{Tried: []string{"r1z10", "r2z10", "r2z11", "r2z12"}})
	is.Equal(ok, false)
}

// TestMisleadingReports guards against the effects of false load reports: a falsely
// idle instance that attracts most calls, and an impossible load that diverts calls
// from its zone or its service.
func TestMisleadingReports(t *testing.T) {
	const impossibleLoad = 1 << 20
	near, region := newInstances("r1", "z1", 20), newInstances("r1", "z2", 20)
	all := append(append([]sycamorerun.Instance{}, near...), region...)
	misreporter := near[0].Name
	for name, test := range map[string]struct {
		misreporter, others int
		// most is the largest permitted share of the misreporting instance, least the
		// smallest permitted share of the zone.
		most, least float64
	}{
		"idle":          {0, 3, 0.12, 0.95},
		"full":          {impossibleLoad, 0, 0.05, 0.95},
		"all are full":  {impossibleLoad, impossibleLoad, 0.12, 0.95},
		"all are alike": {2, 2, 0.12, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			instances := all
			if test.others == impossibleLoad {
				instances = near // The region would take the calls otherwise.
			}
			counts := countPicks(newBalancer(instances), start, 2000, func(name string) Observation {
				observation := success(name)
				observation.Load.Running = test.others
				if name == misreporter {
					observation.Load.Running = test.misreporter
				}
				return observation
			})
			is.Equal(counts["none"], 0)
			is.True(float64(counts[misreporter]) <= 2000*test.most)
			is.True(float64(sumOf(counts, near)) >= 2000*test.least)
			for _, instance := range near[1:] {
				is.True(counts[instance.Name] >= 30) // 100 on average
			}
		})
	}
}
