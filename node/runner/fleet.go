package runner

import (
	"slices"
	"sync/atomic"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// fleet holds this node's view of the members, which is recomputed on each change.
type fleet struct {
	// options are the planner options. They are set before the first membership change.
	options planner.Options
	view    atomic.Pointer[view]
}

// view is a snapshot of the members and the plan over them. It is immutable.
type view struct {
	plan      planner.Plan
	live      []sycamorerun.Instance
	byName    map[string]sycamorerun.Instance
	byService map[string][]sycamorerun.Instance
}

func newFleet(self sycamorerun.Instance) *fleet {
	f := &fleet{}
	f.update(self.Name, []sycamorerun.Instance{self}, []sycamorerun.Instance{self})
	return f
}

// update replaces the view by one of the live members. The plan is computed over the
// reachable ones among them.
func (f *fleet) update(self string, live, reachable []sycamorerun.Instance) {
	next := &view{
		plan:      planner.New(self, reachable, f.options),
		live:      live,
		byName:    make(map[string]sycamorerun.Instance, len(live)),
		byService: map[string][]sycamorerun.Instance{},
	}
	for _, member := range live {
		next.byName[member.Name] = member
		if member.Service != "" && member.Serving() {
			next.byService[member.Service] = append(next.byService[member.Service], member)
		}
	}
	f.view.Store(next)
}

func (f *fleet) plan() planner.Plan { return f.view.Load().plan }

func (f *fleet) live() []sycamorerun.Instance { return f.view.Load().live }

func (f *fleet) member(name string) (sycamorerun.Instance, bool) {
	member, ok := f.view.Load().byName[name]
	return member, ok
}

// serving returns the members of a service that accept calls. The slice is shared
// and must not be modified.
func (f *fleet) serving(service string) []sycamorerun.Instance {
	return f.view.Load().byService[service]
}

// servingCount returns the number of members of a service that accept calls.
func (f *fleet) servingCount(service string) int { return len(f.serving(service)) }

// otherNames returns the names of the live members except self.
func (f *fleet) otherNames(self string) []string {
	return slices.DeleteFunc(names(f.live()), func(name string) bool { return name == self })
}
