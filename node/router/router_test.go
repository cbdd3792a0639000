package router

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sycamorerun"
)

func tree(routes map[string]sycamorerun.Route, services ...string) sycamorerun.Tree {
	items := map[sycamorerun.Path]sycamorerun.Item{}
	put := func(kind, name string, value any) {
		item, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		items[sycamorerun.NewPath("quoting", kind, name)] = item
	}
	for i, name := range services {
		put(sycamorerun.KindService, name, sycamorerun.Service{Slots: i + 1})
	}
	for name, route := range routes {
		put(sycamorerun.KindRoute, name, route)
	}
	return sycamorerun.Tree{Version: 7, Items: items}
}

func to(service string) []sycamorerun.Target {
	return []sycamorerun.Target{{Service: service, Weight: 1}}
}

// TestMatch guards against matching a less specific route, or a route whose prefix
// does not end at a segment boundary of the path.
func TestMatch(t *testing.T) {
	table, faults := Compile(tree(map[string]sycamorerun.Route{
		"any":    {Prefix: "/", Split: to("a")},
		"suffix": {Hosts: []string{"*.example"}, Prefix: "/", Split: to("a")},
		"longer": {Hosts: []string{"*.east.example"}, Prefix: "/", Split: to("a")},
		"exact":  {Hosts: []string{"Quotes.example"}, Prefix: "/quotes", Split: to("a")},
		"deep":   {Hosts: []string{"quotes.example"}, Prefix: "/quotes/old/", Split: to("b"), Repeat: sycamorerun.RepeatNever},
		"post":   {Hosts: []string{"quotes.example"}, Prefix: "/quotes", Methods: []string{"POST"}, Split: to("b"), Repeat: sycamorerun.RepeatAlways},
		"agent":  {Hosts: []string{"quotes.example"}, Prefix: "/quotes", Headers: map[string]string{"x-channel": "agent"}, Split: to("b"), Class: sycamorerun.Bulk},
	}, "a", "b"))
	is.New(t).Equal(faults, nil)
	agent := http.Header{"X-Channel": {"web", "agent"}}
	cases := map[string]struct {
		request    Request
		route      string
		repeatable bool
	}{
		"exact host":          {Request{Method: "GET", Host: "quotes.example:8080", Path: "/quotes/1"}, "exact", true},
		"host case":           {Request{Method: "GET", Host: "QUOTES.example.", Path: "/quotes"}, "exact", true},
		"segment boundary":    {Request{Method: "GET", Host: "quotes.example", Path: "/quotesmore"}, "suffix", true},
		"longest prefix":      {Request{Method: "GET", Host: "quotes.example", Path: "/quotes/old/3"}, "deep", false},
		"prefix with slash":   {Request{Method: "GET", Host: "quotes.example", Path: "/quotes/old/"}, "deep", false},
		"prefix less slash":   {Request{Method: "GET", Host: "quotes.example", Path: "/quotes/old"}, "exact", true},
		"path with slash":     {Request{Method: "GET", Host: "quotes.example", Path: "/quotes/"}, "exact", true},
		"dot segments":        {Request{Method: "GET", Host: "quotes.example", Path: "/quotes/old/../x"}, "exact", true},
		"method":              {Request{Method: "POST", Host: "quotes.example", Path: "/quotes"}, "post", true},
		"method by default":   {Request{Method: "PATCH", Host: "quotes.example", Path: "/quotes"}, "exact", false},
		"header":              {Request{Method: "GET", Host: "quotes.example", Path: "/quotes", Header: agent}, "agent", true},
		"longer suffix":       {Request{Method: "GET", Host: "a.b.east.example", Path: "/"}, "longer", true},
		"shorter suffix":      {Request{Method: "GET", Host: "a.west.example", Path: ""}, "suffix", true},
		"suffix needs a name": {Request{Method: "GET", Host: "example", Path: "/"}, "any", true},
		"address as host":     {Request{Method: "GET", Host: "[::1]:80", Path: "/x"}, "any", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			match, ok := table.Match(c.request)
			is.True(ok)
			is.Equal(match.Route, sycamorerun.NewPath("quoting", "route", c.route))
			is.Equal(match.Repeatable, c.repeatable)
			is.Equal(match.Version, sycamorerun.Version(7))
			settings, _ := table.Service(match.Service)
			is.Equal(match.Settings, settings)
		})
	}
}

// TestCompileFaults guards against compiling a table with invalid routes.
func TestCompileFaults(t *testing.T) {
	cases := map[string]struct {
		route sycamorerun.Route
		code  string
	}{
		"unknown service":  {sycamorerun.Route{Prefix: "/", Split: to("gone")}, CodeUnknownService},
		"no split":         {sycamorerun.Route{Prefix: "/"}, CodeInvalidSplit},
		"only zero weight": {sycamorerun.Route{Prefix: "/", Split: []sycamorerun.Target{{Service: "a"}}}, CodeInvalidSplit},
		"negative weight":  {sycamorerun.Route{Prefix: "/", Split: []sycamorerun.Target{{Service: "a", Weight: -1}, {Service: "a", Weight: 2}}}, CodeInvalidSplit},
		"relative prefix":  {sycamorerun.Route{Prefix: "x", Split: to("a")}, CodeInvalidPrefix},
		"dots in prefix":   {sycamorerun.Route{Prefix: "/a/../b", Split: to("a")}, CodeInvalidPrefix},
		"inner wildcard":   {sycamorerun.Route{Prefix: "/", Hosts: []string{"a.*.b"}, Split: to("a")}, CodeInvalidHost},
		"unknown class":    {sycamorerun.Route{Prefix: "/", Class: "best", Split: to("a")}, CodeInvalidClass},
		"unknown repeat":   {sycamorerun.Route{Prefix: "/", Repeat: "once", Split: to("a")}, CodeInvalidRepeat},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, faults := Compile(tree(map[string]sycamorerun.Route{"r": c.route}, "a"))
			is.True(table == nil)
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Code, c.code)
			is.Equal(faults[0].Path, "quoting/route/r")
		})
	}
	is := is.New(t)
	broken := tree(nil, "a")
	broken.Items["moving/service/a"] = sycamorerun.Item(`{}`)
	broken.Items["moving/route/r"] = sycamorerun.Item(`{"prefix":"/","new":1}`)
	_, faults := Compile(broken)
	is.Equal(len(faults), 2)
}

// TestSplit guards against a share of calls that differs from the weight of a service.
func TestSplit(t *testing.T) {
	is := is.New(t)
	table, _ := Compile(tree(map[string]sycamorerun.Route{"r": {Prefix: "/", Split: []sycamorerun.Target{
		{Service: "a", Weight: 3}, {Service: "b", Weight: 0}, {Service: "c", Weight: 7},
	}}}, "a", "b", "c"))
	counts := map[string]int{}
	for i := range uint64(1000) {
		match, _ := table.Match(Request{Random: i})
		counts[match.Service]++
	}
	is.Equal(counts, map[string]int{"a": 300, "c": 700})
}

// TestAttributes guards against values of a route that are overridden by those of its
// service or class, and against missing defaults of a route that sets none.
func TestAttributes(t *testing.T) {
	cases := map[string]struct {
		route sycamorerun.Route
		want  Match
		text  string
	}{
		"by default": {sycamorerun.Route{}, Match{Rank: 4, Timeout: 2 * time.Second}, "rank 4, timeout 2s"},
		"bulk":       {sycamorerun.Route{Class: sycamorerun.Bulk}, Match{Rank: 8, Timeout: 2 * time.Second}, "rank 8, timeout 2s"},
		"background": {sycamorerun.Route{Class: sycamorerun.Background}, Match{Rank: 12, Timeout: 2 * time.Second}, "rank 12, timeout 2s"},
		"own": {
			sycamorerun.Route{Class: sycamorerun.Background, Rank: 1, Timeout: sycamorerun.Duration(time.Second), Objective: sycamorerun.Duration(time.Millisecond), Attempts: 5},
			Match{Rank: 1, Timeout: time.Second, Objective: time.Millisecond, Attempts: 5},
			"rank 1, timeout 1s, objective 1ms, at most 5 attempts",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.route.Prefix, c.route.Split = "/", to("a")
			source := tree(map[string]sycamorerun.Route{"r": c.route})
			source.Items["quoting/service/a"] = sycamorerun.Item(`{"timeout":"2s"}`)
			table, faults := Compile(source)
			is.Equal(faults, nil)
			explanation := table.Explain(Request{Path: "/"})
			got := Match{Rank: explanation.Match.Rank, Timeout: explanation.Match.Timeout, Objective: explanation.Match.Objective, Attempts: explanation.Match.Attempts}
			is.Equal(got, c.want)
			is.Equal(explanation.Attributes(), c.text)
		})
	}
}

// TestExplainAgrees guards against an Explain that disagrees with Match, and against a
// recompiled table that keeps an outdated item of the previous one.
func TestExplainAgrees(t *testing.T) {
	var previous *Table
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"a.x", "b.x", "*.x", "*.y.x", "c.y.x"}
		prefixes := []string{"/", "/p", "/p/", "/p/q", "/p/q/", "/pq"}
		methods := []string{"GET", "POST"}
		routes := map[string]sycamorerun.Route{}
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			route := sycamorerun.Route{Prefix: rapid.SampledFrom(prefixes).Draw(t, "prefix"), Split: to("a")}
			route.Hosts = rapid.SliceOfN(rapid.SampledFrom(hosts), 0, 2).Draw(t, "hosts")
			route.Methods = rapid.SliceOfN(rapid.SampledFrom(methods), 0, 1).Draw(t, "methods")
			if rapid.Bool().Draw(t, "header") {
				route.Headers = map[string]string{"x": "1"}
			}
			routes[fmt.Sprint(i)] = route
		}
		table, faults := Recompile(previous, tree(routes, "a"))
		if faults != nil {
			t.Fatal(faults)
		}
		previous = table
		fresh, _ := Compile(tree(routes, "a"))
		request := Request{
			Host:   rapid.SampledFrom(append(hosts, "z")).Draw(t, "host"),
			Path:   rapid.SampledFrom(append(prefixes, "/p/q/r", "/p/x/")).Draw(t, "path"),
			Method: rapid.SampledFrom(methods).Draw(t, "method"),
		}
		if rapid.Bool().Draw(t, "with header") {
			request.Header = http.Header{"X": {"1"}}
		}
		explanation := table.Explain(request)
		if match, _ := fresh.Match(request); match != explanation.Match {
			t.Fatalf("fresh table chose %q, the other %q", match.Route, explanation.Match.Route)
		}
		var chosen sycamorerun.Path
		for _, step := range explanation.Steps {
			if step.Matched {
				chosen = step.Route
			}
		}
		if chosen != explanation.Match.Route || explanation.Found != (chosen != "") {
			t.Fatalf("Match chose %q, Explain %q", explanation.Match.Route, chosen)
		}
	})
}

// TestSplitOverSeeds guards against shares that differ from the weights by more than
// a tenth among 600 calls of random draws, for many splits.
func TestSplitOverSeeds(t *testing.T) {
	is := is.New(t)
	const seeds, calls, tolerance = 200, 600, 0.1
	worst := 0.0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		names := []string{"a", "b", "c", "d"}[:2+random.IntN(3)]
		var targets []sycamorerun.Target
		total := 0
		for _, name := range names {
			weight := 1 + random.IntN(1000)
			targets = append(targets, sycamorerun.Target{Service: name, Weight: weight})
			total += weight
		}
		table, faults := Compile(tree(map[string]sycamorerun.Route{"r": {Prefix: "/", Split: targets}}, names...))
		is.Equal(len(faults), 0)
		counts := map[string]int{}
		for range calls {
			match, _ := table.Match(Request{Random: random.Uint64()})
			counts[match.Service]++
		}
		for _, target := range targets {
			difference := math.Abs(float64(counts[target.Service])/calls - float64(target.Weight)/float64(total))
			worst = max(worst, difference)
		}
	}
	t.Logf("worst deviation %.3f", worst)
	is.True(worst <= tolerance)
}
