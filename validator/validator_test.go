package validator_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/parser"
	"sycamorerun/validator"
)

type items = map[sycamorerun.Path]sycamorerun.Item

const (
	service = `{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`
	team    = `{"mode":"flow"}`
)

func route(route sycamorerun.Route) sycamorerun.Item {
	route.Class, route.Repeat = sycamorerun.Bulk, sycamorerun.RepeatDefault
	item, err := json.Marshal(route)
	if err != nil {
		panic(err)
	}
	return item
}

// account returns an account whose key has a hash with the given digit.
func account(digit string) sycamorerun.Item {
	return sycamorerun.Item(`{"keys":["sha256:` + strings.Repeat(digit, 64) + `"]}`)
}

func baseTree() items {
	return items{
		"admin/team/a": sycamorerun.Item(team), "admin/team/b": sycamorerun.Item(team),
		"a/service/s": sycamorerun.Item(service),
		"b/route/r": route(sycamorerun.Route{
			Hosts: []string{"x", "y"}, Prefix: "/", Split: []sycamorerun.Target{{Service: "s", Weight: 1}},
		}),
	}
}

// TestCheck guards against a rule across teams that is not applied, or whose
// fault has the wrong code or path.
func TestCheck(t *testing.T) {
	split := []sycamorerun.Target{{Service: "s", Weight: 1}}
	operators := sycamorerun.Item(`{"mode":"flow","operators":[{"name":"ann","hash":"sha256:` + strings.Repeat("0", 64) + `"}]}`)
	many, large, packed := items{}, items{}, items{}
	for i := range parser.MaxServices {
		many[sycamorerun.Path(fmt.Sprintf("a/service/s%d", i))] = sycamorerun.Item(service)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 70 {
		large[sycamorerun.Path(fmt.Sprintf("a/service/l%d", i))] = make(sycamorerun.Item, parser.MaxItemBytes)
		item := make(sycamorerun.Item, 20<<10)
		for at := range item {
			item[at] = byte(random.Uint32())
		}
		packed[sycamorerun.Path(fmt.Sprintf("a/service/p%d", i))] = item
	}
	for name, test := range map[string]struct {
		add        items
		code, path string
	}{
		"valid":    {nil, "", ""},
		"hold":     {items{"a/hold": sycamorerun.Item(`{"operator":"ann","reason":"","since":"2026-01-02T03:04:05Z"}`)}, "", ""},
		"overlaps": {items{"a/route/r": route(sycamorerun.Route{Hosts: []string{"x"}, Prefix: "/", Split: split})}, "", ""},
		"no service": {items{"a/route/q": route(sycamorerun.Route{
			Prefix: "/", Split: []sycamorerun.Target{{Service: "gone", Weight: 1}},
		})}, "no-service", "a/route/q"},
		"removed service":     {items{"a/service/s": nil}, "malformed", "a/service/s"},
		"two owners":          {items{"b/service/s": sycamorerun.Item(service)}, "duplicate-service", "b/service/s"},
		"undeclared":          {items{"c/service/t": sycamorerun.Item(service)}, "no-team", "c/service/t"},
		"same match":          {items{"b/route/q": route(sycamorerun.Route{Hosts: []string{"y", "x"}, Prefix: "/", Split: split})}, "same-match", "b/route/r"},
		"same token":          {items{"admin/team/a": operators, "admin/team/b": operators}, "duplicate-hash", "admin/team/b"},
		"malformed":           {items{"a/service/t": sycamorerun.Item(`{`)}, "malformed", "a/service/t"},
		"limits":              {items{"admin/limits": sycamorerun.Item(`{"header":1024,"wait":"1s"}`)}, "", ""},
		"limits of a team":    {items{"a/limits": sycamorerun.Item(`{}`)}, "bad-path", "a/limits"},
		"limits with a name":  {items{"admin/limits/x": sycamorerun.Item(`{}`)}, "bad-path", "admin/limits/x"},
		"limits too large":    {items{"admin/limits": sycamorerun.Item(`{"header":1048577}`)}, "out-of-bounds", "admin/limits"},
		"accounts":            {items{"admin/account/x": account("0"), "admin/account/y": account("1")}, "", ""},
		"account of a team":   {items{"a/account/x": account("0")}, "bad-path", "a/account/x"},
		"key of two accounts": {items{"admin/account/x": account("0"), "admin/account/y": account("0")}, "duplicate-key", "admin/account/y"},
		"account hash":        {items{"admin/account/x": account("g")}, "bad-value", "admin/account/x"},
		"no name":             {items{"a/service/": sycamorerun.Item(service)}, "bad-path", "a/service/"},
		"bad path":            {items{"a/x/t": sycamorerun.Item(service)}, "bad-path", "a/x/t"},
		"too many services":   {many, "too-many", ""},
		"too large":           {large, "too-large", ""},
		"too large packed":    {packed, "too-large", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tree := baseTree()
			maps.Copy(tree, test.add)
			var found sycamorerun.Fault
			if faults := validator.Check(tree); len(faults) > 0 {
				found = faults[0]
			}
			is.Equal(found.Code, test.code)
			is.Equal(found.Path, test.path)
			_, _, name := sycamorerun.Path(found.Path).Split()
			is.True(found.Code != "no-service" || strings.Contains(found.Reason, name))
		})
	}
}

// TestCheckBounded guards against an unbounded number of reported faults.
func TestCheckBounded(t *testing.T) {
	is := is.New(t)
	tree := items{}
	for i := range 1000 {
		tree[sycamorerun.Path(fmt.Sprintf("a/service/%d", i))] = nil
	}
	is.Equal(len(validator.Check(tree)), parser.MaxFaults)
}

// FuzzCheck guards against panics on a tree from the network, and against an
// accepted tree whose rendered settings files parse to different items.
func FuzzCheck(f *testing.F) {
	for path, item := range baseTree() {
		f.Add(string(path), []byte(item), "a/hold", []byte(`{"operator":"ann"}`))
	}
	f.Fuzz(func(t *testing.T, path string, item []byte, other string, second []byte) {
		tree := baseTree()
		tree[sycamorerun.Path(path)] = item
		tree[sycamorerun.Path(other)] = second
		if len(validator.Check(tree)) > 0 {
			return
		}
		teams := map[string]bool{}
		for path := range tree {
			teams[path.Team()] = true
		}
		for team := range teams {
			is := is.New(t)
			subtree := sycamorerun.Tree{Items: tree}.Subtree(team)
			delete(subtree, sycamorerun.NewPath(team, sycamorerun.KindHold, ""))
			text, err := parser.Render(team, subtree)
			is.NoErr(err)
			parsed, faults := parser.Parse(text)
			is.Equal(faults, nil)
			is.True(maps.EqualFunc(parsed.Items, subtree, func(a, b sycamorerun.Item) bool { return string(a) == string(b) }))
		}
	})
}

// largeTree returns a tree of the size expected in two years: 430 services.
func largeTree() map[sycamorerun.Path]sycamorerun.Item {
	tree := baseTree()
	for i := range 430 {
		name := fmt.Sprintf("s%d", i)
		tree[sycamorerun.NewPath("a", "service", name)] = sycamorerun.Item(service)
		for j := range 4 {
			tree[sycamorerun.NewPath("a", "route", fmt.Sprintf("%s-%d", name, j))] = route(sycamorerun.Route{
				Prefix: fmt.Sprintf("/%s/%d", name, j), Split: []sycamorerun.Target{{Service: name, Weight: 100}},
			})
		}
	}
	return tree
}

func BenchmarkCheck(b *testing.B) {
	tree := largeTree()
	for b.Loop() {
		if faults := validator.Check(tree); faults != nil {
			b.Fatal(faults[0])
		}
	}
}

// BenchmarkChecker measures a check in which one item has changed since the last
// one.
func BenchmarkChecker(b *testing.B) {
	tree := largeTree()
	var checker validator.Checker
	changed := sycamorerun.NewPath("a", "route", "s0-0")
	for i := 0; b.Loop(); i++ {
		tree[changed] = route(sycamorerun.Route{
			Prefix: fmt.Sprintf("/changed/%d", i), Split: []sycamorerun.Target{{Service: "s0", Weight: 100}},
		})
		if faults := checker.Check(tree); faults != nil {
			b.Fatal(faults[0])
		}
	}
}

// TestCheckerRemembers guards against a fault that a Checker misses because it
// reuses items of the previous tree: on each tree of a sequence it must return
// the same faults as Check.
func TestCheckerRemembers(t *testing.T) {
	is := is.New(t)
	var checker validator.Checker
	expectSame := func(tree map[sycamorerun.Path]sycamorerun.Item, faulty bool) {
		t.Helper()
		faults := checker.Check(tree)
		is.Equal(faults, validator.Check(tree))
		is.Equal(len(faults) > 0, faulty)
	}
	tree := largeTree()
	expectSame(tree, false)
	used := sycamorerun.NewPath("a", "service", "s7")
	item := tree[used]
	delete(tree, used)
	expectSame(tree, true) // The service of unchanged routes was removed.
	tree[used] = item
	expectSame(tree, false)
	one, two := sycamorerun.NewPath("a", "route", "s1-0"), sycamorerun.NewPath("a", "route", "s1-1")
	tree[one] = tree[two]
	expectSame(tree, true) // Now two routes match the same requests.
	tree[one] = sycamorerun.Item("{")
	expectSame(tree, true)
	delete(tree, one)
	expectSame(tree, false)
}

// TestSettingsPage guards against a docs/settings.md that differs from the codes.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	for code, meaning := range validator.Codes {
		if row := "| `" + code + "` | " + meaning + " |"; !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/settings.md lacks the row %s", row)
		}
	}
}

// TestCheckerIgnoresLimits guards against a node that refuses an accepted version for a
// limit of the whole tree, and against one that applies a tree which breaks
// another rule.
func TestCheckerIgnoresLimits(t *testing.T) {
	is := is.New(t)
	tree := largeTree()
	for i := range parser.MaxRoutes {
		tree[sycamorerun.NewPath("a", "route", fmt.Sprintf("more-%d", i))] = route(sycamorerun.Route{
			Prefix: fmt.Sprintf("/more/%d", i), Split: []sycamorerun.Target{{Service: "s0", Weight: 100}},
		})
	}
	var checker validator.Checker
	is.True(len(validator.Check(tree)) > 0)
	is.Equal(checker.Check(tree), nil)
	delete(tree, sycamorerun.NewPath("a", "service", "s0"))
	is.True(len(checker.Check(tree)) > 0)
}
