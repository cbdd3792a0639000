package releaser

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var start = time.Unix(1_800_000_000, 0)

func instances(releases ...string) []sycamorerun.Instance {
	var all []sycamorerun.Instance
	for i, release := range releases {
		all = append(all, sycamorerun.Instance{
			Name: string(rune('a' + i)), Release: release, Since: start.Add(time.Duration(i) * time.Second), State: sycamorerun.StateReady,
		})
	}
	return all
}

// releasesOf counts the releases that n calls use, and "" for calls without an
// instance.
func releasesOf(g *Gate, now time.Time, members []sycamorerun.Instance, n int, retry bool) map[string]int {
	used := map[string]int{}
	for range n {
		to, _ := g.Pick(now, "s", retry, members, func(allowed []sycamorerun.Instance) (sycamorerun.Instance, bool) {
			if len(allowed) == 0 {
				return sycamorerun.Instance{}, false
			}
			return allowed[0], true
		})
		used[to.Release]++
	}
	return used
}

// TestGate guards against calls to a release that may not get them, and against
// calls that are not served although a release may.
func TestGate(t *testing.T) {
	mixed := instances("v1", "v2")
	active := decision{service: "s", order: 7, target: "v2", state: sycamorerun.RolloutActive, share: 0.09, all: true, releases: []string{"v1"}}
	changed := func(change func(*decision)) *decision {
		d := active
		change(&d)
		return &d
	}
	for name, test := range map[string]struct {
		members  []sycamorerun.Instance
		decision *decision
		age      time.Duration
		retry    bool
		want     map[string]int
	}{
		"one release":            {members: instances("v1", "v1"), want: map[string]int{"v1": 100}},
		"no decision":            {members: mixed, want: map[string]int{"v1": 100}},
		"trial":                  {members: mixed, decision: &active, want: map[string]int{"v1": 91, "v2": 9}},
		"retries":                {members: mixed, decision: &active, retry: true, want: map[string]int{"v1": 100}},
		"decision expired":       {members: mixed, decision: &active, age: decisionLifetime, want: map[string]int{"v1": 100}},
		"only the target":        {members: instances("v2"), decision: &active, age: decisionLifetime, want: map[string]int{"": 100}},
		"other upstreams chosen": {members: mixed, decision: changed(func(d *decision) { d.all, d.instances = false, []string{"z"} }), want: map[string]int{"v1": 100}},
		"rolled back": {
			members: mixed, decision: changed(func(d *decision) { d.state, d.share = sycamorerun.RolloutRolledBack, 0 }),
			want: map[string]int{"v1": 100},
		},
		"taken": {members: mixed, decision: changed(func(d *decision) { d.share = 1 }), want: map[string]int{"v2": 100}},
		"completed": {
			members: mixed, decision: changed(func(d *decision) { d.state, d.releases = sycamorerun.RolloutCompleted, []string{"v2"} }),
			age: time.Hour, want: map[string]int{"v2": 100},
		},
		"no order": {
			members: instances("v2", "v1"), decision: &decision{service: "s", releases: []string{"v1", "v2"}}, age: time.Hour,
			want: map[string]int{"v2": 100},
		},
		"most restarted without an order": {
			members: instances("v2", "v2", "v2", "v1"), decision: &decision{service: "s", releases: []string{"v1"}}, age: time.Hour,
			want: map[string]int{"v2": 100},
		},
		"most are of the target":   {members: instances("v2", "v2", "v2", "v1"), decision: &active, age: time.Hour, want: map[string]int{"v1": 100}},
		"release without an order": {members: instances("v1", "v2"), decision: &decision{service: "s", releases: []string{"v1"}}, want: map[string]int{"v1": 100}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(start.Add(-time.Hour), "n")
			if test.decision != nil {
				g.Update(start, []decision{*test.decision})
			}
			is.Equal(releasesOf(g, start.Add(test.age), test.members, 100, test.retry), test.want)
		})
	}
}

// TestGateStart guards against a node beside a new upstream that sends it all calls
// before it knows the other members.
func TestGateStart(t *testing.T) {
	is := is.New(t)
	g := NewGate(start, "a")
	is.Equal(releasesOf(g, start, instances("v2"), 1, false), map[string]int{"": 1})
	is.Equal(releasesOf(g, start.Add(startupWindow), instances("v2"), 1, false), map[string]int{"v2": 1})
}

// TestGateReplacedOrder guards against calls that count for the share of a later
// order.
func TestGateReplacedOrder(t *testing.T) {
	is := is.New(t)
	g := NewGate(start, "n")
	d := decision{service: "s", order: 7, target: "v2", state: sycamorerun.RolloutActive, share: 0.1, all: true, releases: []string{"v1"}}
	g.Update(start, []decision{d})
	is.Equal(releasesOf(g, start, instances("v1", "v2"), 9, false), map[string]int{"v1": 9})
	d.order = 8
	g.Update(start, []decision{d})
	is.Equal(releasesOf(g, start, instances("v1", "v2"), 9, false), map[string]int{"v1": 9})
	is.Equal(releasesOf(g, start, instances("v1", "v2"), 1, false), map[string]int{"v2": 1})
}

// TestGateAsks guards against a node that reports without need, or that does not
// learn how a rollout ended.
func TestGateAsks(t *testing.T) {
	rolledBack := decision{service: "s", order: 7, target: "v2", state: sycamorerun.RolloutRolledBack, releases: []string{"v1"}}
	for name, test := range map[string]struct {
		members  []sycamorerun.Instance
		decision *decision
		want     int
	}{
		"just started":      {instances("v1"), nil, 1},
		"one release":       {instances("v1"), &decision{service: "s", releases: []string{"v1"}}, 0},
		"two releases":      {instances("v1", "v2"), &decision{service: "s", releases: []string{"v1"}}, 1},
		"target gone":       {instances("v1"), &rolledBack, 0},
		"only the target":   {instances("v2"), &rolledBack, 1},
		"service is unused": {nil, &rolledBack, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(start, "n")
			if test.decision != nil {
				g.Update(start, []decision{*test.decision})
			}
			is.Equal(len(g.Learn(map[string][]sycamorerun.Instance{"s": test.members})), test.want)
		})
	}
}

// TestUnknownRelease guards against an order that is learned late, and against reads of
// the orders that never end.
func TestUnknownRelease(t *testing.T) {
	is := is.New(t)
	d := NewDecider(modelShare)
	members := instances("v1", "v2")
	d.SetOrders(start, nil)
	d.decide(start, "s", members)
	is.True(d.unknown(start))
	is.True(!d.unknown(start.Add(2 * approveDelay)))
	d.SetOrders(start, []Order{{Service: "s", ID: 7, Rollout: sycamorerun.Rollout{Release: "v2", Duration: sycamorerun.Duration(time.Minute)}}})
	is.True(!d.unknown(start))
}
