package router

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sycamorerun"
	"sycamorerun/node/identifier"
)

// accountTree returns a tree with the given keys by account, a public route
// "/open/" and a route "/" of rank 4.
func accountTree(accounts map[string][]string) sycamorerun.Tree {
	result := tree(map[string]sycamorerun.Route{
		"open": {Prefix: "/open/", Split: to("a"), Public: true}, "closed": {Prefix: "/", Split: to("a"), Rank: 4},
	}, "a")
	for name, keys := range accounts {
		account := sycamorerun.Account{Rank: len(name), Rate: 5}
		for _, key := range keys {
			account.Keys = append(account.Keys, identifier.Text(key))
		}
		item, err := json.Marshal(account)
		if err != nil {
			panic(err)
		}
		result.Items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindAccount, name)] = item
	}
	return result
}

// identify returns the match of a request with key on a path.
func identify(t *Table, key, path string) Match {
	request := Request{Method: "GET", Path: path}
	if key != "" {
		hash, _ := identifier.ParseHash(identifier.Text(key))
		request.Key = &hash
	}
	match, _ := t.Match(request)
	return match
}

// Guards against a key that counts without need or does not count, and against an
// account's priority that gives way to the route's.
func TestAccess(t *testing.T) {
	cases := map[string]struct {
		accounts  map[string][]string
		key, path string
		access    Access
		account   string
		rank      int
	}{
		"no accounts":          {nil, "k1", "/x", AccessOpen, "", 4},
		"account without keys": {map[string][]string{"aa": nil}, "", "/x", AccessDenied, "", 4},
		"no key":               {map[string][]string{"aa": {"k1"}}, "", "/x", AccessDenied, "", 4},
		"unknown key":          {map[string][]string{"aa": {"k1"}}, "k2", "/x", AccessDenied, "", 4},
		"known key":            {map[string][]string{"aa": {"k1"}, "b": {"k2"}}, "k1", "/x", AccessGranted, "aa", 2},
		"second key":           {map[string][]string{"aa": {"k1", "k3"}}, "k3", "/x", AccessGranted, "aa", 2},
		"public, no key":       {map[string][]string{"aa": {"k1"}}, "", "/open/x", AccessPublic, "", 4},
		"public, known key":    {map[string][]string{"aa": {"k1"}}, "k1", "/open/x", AccessPublic, "", 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, faults := Compile(accountTree(c.accounts))
			is.Equal(faults, nil)
			match := identify(table, c.key, c.path)
			is.Equal(match.Access, c.access)
			is.Equal(match.Account.Name, c.account)
			is.Equal(match.Rank, c.rank)
			is.Equal(match.Account.Metered, c.account != "")
			attributes := table.Explain(Request{Method: "GET", Path: c.path}).Attributes()
			is.Equal(strings.HasSuffix(attributes, ", public"), c.access == AccessPublic)
			is.Equal(strings.HasSuffix(attributes, ", needs a key"), c.access == AccessGranted || c.access == AccessDenied)
		})
	}
}

// Guards against a version that is put in force with a key that nobody can have,
// or whose owner depends on the order of items.
func TestAccountFaults(t *testing.T) {
	path := sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindAccount, "c")
	for item, code := range map[string]string{
		`{"keys":["k1"]}`: CodeInvalidKey,
		`{"keys":["` + identifier.Text("k1") + `"]}`: CodeDuplicateKey,
		`{"keys":"k1"}`:    CodeInvalidItem,
		`{"colour":"red"}`: CodeInvalidItem,
	} {
		is := is.New(t)
		broken := accountTree(map[string][]string{"b": {"k1"}})
		broken.Items[path] = sycamorerun.Item(item)
		table, faults := Compile(broken)
		is.Equal(table, nil)
		is.Equal(len(faults), 1)
		is.Equal(faults[0].Code, code)
		is.Equal(faults[0].Path, string(path))
	}
}

// Guards against an index that is updated by the changes and then differs from
// one that is built anew: keys move between accounts, accounts come and go, and
// versions are skipped.
func TestRecompileAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table *Table
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			accounts := map[string][]string{}
			for key := range 6 {
				if name := rapid.SampledFrom([]string{"", "a", "bb", "ccc"}).Draw(t, "owner"); name != "" {
					accounts[name] = append(accounts[name], fmt.Sprint("k", key))
				}
			}
			if rapid.Bool().Draw(t, "empty account") {
				accounts["dddd"] = nil
			}
			next, faults := Recompile(table, accountTree(maps.Clone(accounts)))
			fresh, _ := Compile(accountTree(accounts))
			if len(faults) > 0 || next.Keys() != fresh.Keys() {
				t.Fatalf("%v, %d keys, want %d", faults, next.Keys(), fresh.Keys())
			}
			for key := range 6 {
				name := fmt.Sprint("k", key)
				if got, want := identify(next, name, "/x"), identify(fresh, name, "/x"); got.Account != want.Account || got.Access != want.Access {
					t.Fatalf("key %s belongs to %+v, want %+v", name, got.Account, want.Account)
				}
			}
			table = next
		}
	})
}

// Measures a version that changes the key of one account, and the memory of the
// table, by the number of accounts with one key each.
func BenchmarkRecompileAccounts(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			accounts := map[string][]string{}
			for i := range size {
				accounts[fmt.Sprint("a", i)] = []string{fmt.Sprint("k", i)}
			}
			before := accountTree(accounts)
			accounts["a0"] = []string{"other"}
			after := accountTree(accounts)
			var start, end runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&start)
			table, _ := Compile(before)
			runtime.GC()
			runtime.ReadMemStats(&end)
			first := table
			for b.Loop() {
				table, _ = Recompile(table, after)
				table, _ = Recompile(table, before)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N), "us/version")
			b.ReportMetric(float64(end.HeapAlloc-start.HeapAlloc)/float64(size), "bytes/account")
			runtime.KeepAlive(first)
		})
	}
}
