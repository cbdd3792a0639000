package parser_test

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/parser"
)

const example = `team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 2s, idle: 10s, warmup: 5s, retries: 0.2}
routes:
  quotes:
    hosts: [quotes.example]
    prefix: /quotes
    methods: [GET]
    headers: {x-channel: agent}
    class: interactive
    repeat: default
    split:
      - {service: quote-desk, weight: 100}
`

const adminExample = `team: admin
teams:
  quoting: {mode: review, operators: [{name: ann, hash: "sha256:` + hashDigits + `"}]}
limits: {header: 16384, idle: 60s}
accounts:
  notary: {label: Notary No. 1, keys: ["sha256:` + hashDigits + `"], rank: 2, rate: 0.5, burst: 100}
  clerk: {}
`

const hashDigits = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// TestParse guards against changes of the canonical JSON of items and of their
// defaults.
func TestParse(t *testing.T) {
	service := `{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`
	for name, test := range map[string]struct {
		text  string
		items map[sycamorerun.Path]string
	}{
		"example": {example, map[sycamorerun.Path]string{
			"quoting/service/quote-desk": service,
			"quoting/route/quotes": `{"hosts":["quotes.example"],"prefix":"/quotes","methods":["GET"],"headers":{"x-channel":"agent"},` +
				`"class":"interactive","repeat":"default","split":[{"service":"quote-desk","weight":100}]}`,
		}},
		"admin": {adminExample, map[sycamorerun.Path]string{
			"admin/team/quoting":   `{"mode":"review","operators":[{"name":"ann","hash":"sha256:` + hashDigits + `"}]}`,
			"admin/limits":         `{"header":16384,"idle":"1m0s"}`,
			"admin/account/notary": `{"label":"Notary No. 1","keys":["sha256:` + hashDigits + `"],"rank":2,"rate":0.5,"burst":100}`,
			"admin/account/clerk":  `{}`,
		}},
		"defaults": {"team: a\nservices: {null: }\nroutes: {r: {split: [{service: s}]}}", map[sycamorerun.Path]string{
			"a/service/null": service,
			"a/route/r":      `{"prefix":"/","class":"interactive","repeat":"default","split":[{"service":"s","weight":100}]}`,
		}},
		"public": {"team: a\nroutes: {r: {public: true, split: [{service: s}]}}", map[sycamorerun.Path]string{
			"a/route/r": `{"prefix":"/","class":"interactive","repeat":"default","split":[{"service":"s","weight":100}],"public":true}`,
		}},
		"durations": {"team: a\nservices: {s: {timeout: 60s, idle: 0.5m, warmup: 0s, retries: -0.0}}", map[sycamorerun.Path]string{
			"a/service/s": `{"slots":6,"queue":12,"connections":130,"timeout":"1m0s","idle":"30s","warmup":"0s","retries":0}`,
		}},
		"aliases": {"team: a\nservices: {s: &x {slots: 1}, t: *x}", map[sycamorerun.Path]string{
			"a/service/s": strings.Replace(service, ":6", ":1", 1), "a/service/t": strings.Replace(service, ":6", ":1", 1),
		}},
		"no items": {"team: a", map[sycamorerun.Path]string{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			subtree, faults := parser.Parse([]byte(test.text))
			is.Equal(faults, nil)
			is.Equal(len(subtree.Items), len(test.items))
			for path, item := range test.items {
				is.Equal(string(subtree.Items[path]), item)
			}
		})
	}
}

// TestParseFaults guards against a wrong code, path or line in the fault of each
// kind of invalid input.
func TestParseFaults(t *testing.T) {
	service := func(text string) string { return "team: a\nservices:\n  s:\n    " + text }
	route := func(text string) string { return "team: a\nroutes:\n  r:\n    split: [{service: s}]\n    " + text }
	split := func(text string) string { return "team: a\nroutes:\n  r:\n    split: " + text }
	account := func(text, name string) string { return "team: admin\naccounts:\n  " + name + ":\n    " + text }
	hash := `"sha256:` + hashDigits + `"`
	many := strings.Builder{}
	for i := range parser.MaxServices + 1 {
		many.WriteString("  s" + strconv.Itoa(i) + ": {}\n")
	}
	for name, test := range map[string]struct{ text, code, path, line string }{
		"empty":             {"", "empty", "", "0"},
		"comment only":      {"# nothing", "empty", "", "0"},
		"not utf-8":         {"team: \xff", "not-utf8", "", "0"},
		"oversize":          {"team: a #" + strings.Repeat("x", parser.MaxTextBytes), "too-long", "", "0"},
		"syntax":            {"team: a\nroutes: [", "syntax", "", "2"},
		"two documents":     {"team: a\n---\nteam: b", "several-documents", "", "2"},
		"bad second":        {"team: a\n---\n[", "syntax", "", "3"},
		"list":              {"- a", "wrong-type", "", "1"},
		"no team":           {"services: {}", "missing-field", "team", "1"},
		"team type":         {"team: 1", "wrong-type", "team", "1"},
		"team name":         {"team: A", "bad-name", "team", "1"},
		"tag":               {"team: !x a", "wrong-type", "team", "1"},
		"unknown section":   {"team: a\nhold: x", "unknown-field", "hold", "2"},
		"teams in team":     {"team: a\nteams: {}", "unknown-field", "teams", "2"},
		"services in admin": {"team: admin\nservices: {}", "unknown-field", "services", "2"},
		"section type":      {"team: a\nservices: [s]", "wrong-type", "services", "2"},
		"service name":      {"team: a\nservices: {S: {}}", "bad-name", "services.S", "2"},
		"too many services": {"team: a\nservices:\n" + many.String(), "too-many", "services", "3"},
		"duplicate service": {"team: a\nservices:\n  s:\n  s:", "duplicate", "services.s", "4"},
		"duplicate field":   {service("slots: 1\n    slots: 1"), "duplicate", "services.s.slots", "5"},
		"list key":          {"team: a\n? [b]\n: c", "wrong-type", "", "2"},
		"unknown field":     {service("slot: 1"), "unknown-field", "services.s.slot", "4"},
		"merge key":         {service("<<: {slots: 1}"), "unknown-field", "services.s.<<", "4"},
		"low":               {service("slots: 0"), "out-of-bounds", "services.s.slots", "4"},
		"high":              {service("queue: 1025"), "out-of-bounds", "services.s.queue", "4"},
		"overflow":          {service("queue: 99999999999999999999"), "out-of-bounds", "services.s.queue", "4"},
		"hexadecimal":       {service("slots: 0x10"), "wrong-type", "services.s.slots", "4"},
		"quoted integer":    {service(`slots: "5"`), "wrong-type", "services.s.slots", "4"},
		"empty integer":     {service("slots:"), "wrong-type", "services.s.slots", "4"},
		"fraction high":     {service("retries: 1.5"), "out-of-bounds", "services.s.retries", "4"},
		"not a number":      {service("retries: .nan"), "wrong-type", "services.s.retries", "4"},
		"infinite":          {service("retries: .inf"), "wrong-type", "services.s.retries", "4"},
		"no unit":           {service("timeout: 2"), "missing-unit", "services.s.timeout", "4"},
		"quoted no unit":    {service(`timeout: "2"`), "missing-unit", "services.s.timeout", "4"},
		"unit":              {service("timeout: 2d"), "wrong-unit", "services.s.timeout", "4"},
		"microseconds":      {service("timeout: 2000us"), "wrong-unit", "services.s.timeout", "4"},
		"not whole":         {service("timeout: 1.5ms"), "out-of-bounds", "services.s.timeout", "4"},
		"negative":          {service("warmup: -1s"), "out-of-bounds", "services.s.warmup", "4"},
		"endless":           {service("timeout: 9999999999h"), "out-of-bounds", "services.s.timeout", "4"},
		"duration list":     {service("timeout: [2s]"), "wrong-type", "services.s.timeout", "4"},
		"host":              {route("hosts: [a, 'B']"), "bad-value", "routes.r.hosts[1]", "5"},
		"host length":       {route("hosts: [" + strings.Repeat("a.", 127) + "a]"), "out-of-bounds", "routes.r.hosts[0]", "5"},
		"host type":         {route("hosts: [1.5]"), "wrong-type", "routes.r.hosts[0]", "5"},
		"hosts type":        {route("hosts: a"), "wrong-type", "routes.r.hosts", "5"},
		"duplicate host":    {route("hosts: [a, a]"), "duplicate", "routes.r.hosts[1]", "5"},
		"prefix":            {route("prefix: quotes"), "bad-value", "routes.r.prefix", "5"},
		"prefix query":      {route("prefix: /a?b"), "bad-value", "routes.r.prefix", "5"},
		"prefix length":     {route("prefix: /" + strings.Repeat("a", 1024)), "out-of-bounds", "routes.r.prefix", "5"},
		"method":            {route("methods: [get]"), "bad-value", "routes.r.methods[0]", "5"},
		"header name":       {route("headers: {X: a}"), "bad-name", "routes.r.headers.X", "5"},
		"header host":       {route("headers: {host: a}"), "bad-name", "routes.r.headers.host", "5"},
		"header value":      {route(`headers: {x: "a\nb"}`), "bad-value", "routes.r.headers.x", "5"},
		"class":             {route("class: fast"), "bad-value", "routes.r.class", "5"},
		"repeat":            {route("repeat: true"), "wrong-type", "routes.r.repeat", "5"},
		"no split":          {split(""), "out-of-bounds", "routes.r.split", "4"},
		"missing split":     {"team: a\nroutes: {r: {}}", "missing-field", "routes.r.split", "2"},
		"target service":    {split("[{weight: 1}]"), "missing-field", "routes.r.split[0].service", "4"},
		"target name":       {split("[{service: s_t}]"), "bad-name", "routes.r.split[0].service", "4"},
		"duplicate target":  {split("[{service: s}, {service: s}]"), "duplicate", "routes.r.split[1].service", "4"},
		"no weight":         {split("[{service: s, weight: 0}]"), "out-of-bounds", "routes.r.split", "4"},
		"mode":              {"team: admin\nteams: {a: {mode: x}}", "bad-value", "teams.a.mode", "2"},
		"operator hash":     {strings.Replace(adminExample, "sha256:", "md5:", 1), "bad-value", "teams.quoting.operators[0].hash", "3"},
		"public":            {route("public: 1"), "wrong-type", "routes.r.public", "5"},
		"accounts in team":  {"team: a\naccounts: {}", "unknown-field", "accounts", "2"},
		"account name":      {account("keys: []", "B"), "bad-name", "accounts.B", "3"},
		"key for a hash":    {account("keys: [secret]", "b"), "bad-value", "accounts.b.keys[0]", "4"},
		"numeric key":       {account("keys: [5ec2e7]", "b"), "bad-value", "accounts.b.keys[0]", "4"},
		"number for a hash": {account("keys: [52741]", "b"), "wrong-type", "accounts.b.keys[0]", "4"},
		"key for a list":    {account("keys: secret", "b"), "wrong-type", "accounts.b.keys", "4"},
		"duplicate key":     {account("keys: ["+hash+", "+hash+"]", "b"), "duplicate", "accounts.b.keys[1]", "4"},
		"too many keys":     {account("keys: ["+strings.Repeat(hash+", ", 513)+"]", "b"), "out-of-bounds", "accounts.b.keys", "4"},
		"negative rate":     {account("rate: -1", "b"), "out-of-bounds", "accounts.b.rate", "4"},
		"absurd rate":       {account("rate: 1e10", "b"), "out-of-bounds", "accounts.b.rate", "4"},
		"infinite rate":     {account("rate: .inf", "b"), "wrong-type", "accounts.b.rate", "4"},
		"negative burst":    {account("burst: -0.1", "b"), "out-of-bounds", "accounts.b.burst", "4"},
		"account rank":      {account("rank: 17", "b"), "out-of-bounds", "accounts.b.rank", "4"},
		"account label":     {account(`label: "a\nb"`, "b"), "bad-value", "accounts.b.label", "4"},
		"many aliases":      {"team: &x a\nservices: {" + strings.Repeat("? *x ,", parser.MaxAliases) + "}", "too-many-aliases", "", "2"},
		"recursive alias":   {"team: a\nservices: &x {s: *x}", "unknown-field", "services.s.s", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, faults := parser.Parse([]byte(test.text))
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Code, test.code)
			is.Equal(faults[0].Path, test.path)
			is.Equal(strconv.Itoa(faults[0].Line), test.line)
			is.True(faults[0].Reason != "")
			for _, key := range []string{"secret", "5ec2e7", "52741"} {
				is.True(!strings.Contains(faults[0].Reason, key)) // a key is not quoted
			}
			is.True(parser.Codes[faults[0].Code] != "")
		})
	}
}

// TestParseDuplicateKey guards against a fault that shows a key that was put in
// place of its hash twice.
func TestParseDuplicateKey(t *testing.T) {
	is := is.New(t)
	_, faults := parser.Parse([]byte("team: admin\naccounts:\n  b:\n    keys: [secret, secret]\n"))
	is.Equal(len(faults), 3) // neither is a hash, and the second is a duplicate
	for _, fault := range faults {
		is.True(!strings.Contains(fault.Reason, "secret"))
	}
}

// TestParseEveryFault guards against a fault that hides others, faults that are
// not in the order of the text, and an unbounded number of faults.
func TestParseEveryFault(t *testing.T) {
	is := is.New(t)
	_, faults := parser.Parse([]byte("team: a\nservices:\n  s:\n    idle: 1h\n    slots: x\n    extra: 1\nroutes:\n  r: {split: 3}\n"))
	var codes []string
	for _, fault := range faults {
		codes = append(codes, fault.Code)
	}
	is.Equal(codes, []string{"out-of-bounds", "wrong-type", "unknown-field", "wrong-type"})
	_, faults = parser.Parse([]byte("team: a\nroutes:\n  r:\n    split:\n" + strings.Repeat("    - {}\n", 200)))
	is.Equal(len(faults), parser.MaxFaults)
}

// TestParseExpansion guards against unbounded alias expansion: 60 routes that
// alias the same 5,000 headers expand a text of 50 KB to 600,000 values.
func TestParseExpansion(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	text.WriteString("team: a\nroutes:\n  r: {headers: &x {")
	for i := range 5000 {
		text.WriteString("h" + strconv.Itoa(i) + ": a, ")
	}
	text.WriteString("}, split: [{service: s}]}\n")
	for i := range 60 {
		text.WriteString("  r" + strconv.Itoa(i) + ": {headers: *x, split: [{service: s}]}\n")
	}
	_, faults := parser.Parse([]byte(text.String()))
	is.True(slices.ContainsFunc(faults, func(fault sycamorerun.Fault) bool { return fault.Code == "too-many-aliases" }))
	is.True(len(faults) <= parser.MaxFaults)
}

// TestDecode guards against accepting items from the network that no settings
// file can produce.
func TestDecode(t *testing.T) {
	service := `{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`
	for name, test := range map[string]struct{ path, item, code string }{
		"service":         {"a/service/s", service, ""},
		"hold":            {"a/hold", `{"operator":"ann","reason":"freeze","since":"2026-01-02T03:04:05Z"}`, ""},
		"hold since":      {"a/hold", `{"operator":"ann","reason":"","since":"0001-01-01T00:00:00Z"}`, "missing-field"},
		"empty path":      {"", service, "bad-path"},
		"hold name":       {"a/hold/x", service, "bad-path"},
		"long path":       {"a/service/s/t", service, "bad-path"},
		"path bytes":      {"a/service/\xff", service, "bad-path"},
		"kind":            {"a/thing/s", service, "bad-path"},
		"admin service":   {"admin/service/s", service, "bad-path"},
		"team of a team":  {"a/team/b", `{"mode":"flow"}`, "bad-path"},
		"no item":         {"a/service/s", "", "malformed"},
		"null":            {"a/service/s", "null", "malformed"},
		"spaces":          {"a/service/s", strings.Replace(service, ",", ", ", 1), "malformed"},
		"unknown field":   {"a/service/s", strings.Replace(service, "{", `{"x":1,`, 1), "malformed"},
		"other case":      {"a/service/s", strings.Replace(service, "slots", "Slots", 1), "malformed"},
		"duration form":   {"a/service/s", strings.Replace(service, `"2s"`, `"2000ms"`, 1), "malformed"},
		"bounds":          {"a/service/s", strings.Replace(service, `"slots":6`, `"slots":0`, 1), "out-of-bounds"},
		"fine duration":   {"a/service/s", strings.Replace(service, `"2s"`, `"2.0000001s"`, 1), "out-of-bounds"},
		"too large":       {"a/service/s", strings.Repeat(" ", parser.MaxItemBytes) + service, "too-large"},
		"not utf-8 value": {"a/hold", "{\"operator\":\"ann\",\"reason\":\"\xff\",\"since\":\"2026-01-02T03:04:05Z\"}", "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code := ""
			if _, faults := parser.Decode(sycamorerun.Path(test.path), sycamorerun.Item(test.item)); len(faults) > 0 {
				code = faults[0].Code
			}
			is.Equal(code, test.code)
		})
	}
}

// roundTrip renders items and fails if the result parses to different items.
func roundTrip(t *testing.T, team string, items map[sycamorerun.Path]sycamorerun.Item) {
	t.Helper()
	is := is.New(t)
	text, err := parser.Render(team, items)
	is.NoErr(err)
	for _, parse := range []func([]byte) (parser.Subtree, []sycamorerun.Fault){parser.Parse, parser.ParseParts} {
		subtree, faults := parse(text)
		is.Equal(faults, nil)
		is.Equal(subtree.Team, team)
		is.True(maps.EqualFunc(subtree.Items, items, func(a, b sycamorerun.Item) bool { return string(a) == string(b) }))
	}
}

// TestRender guards against rendered texts that YAML reads as another type, and
// against holds and items of other teams in a settings file.
func TestRender(t *testing.T) {
	is := is.New(t)
	marshal := func(value any) sycamorerun.Item {
		item, err := json.Marshal(value)
		is.NoErr(err)
		return item
	}
	items := map[sycamorerun.Path]sycamorerun.Item{
		"1e3/route/null": marshal(sycamorerun.Route{
			Hosts: []string{"1.5", "null", "a"}, Prefix: "/", Methods: []string{"ON", "NULL"},
			Headers: map[string]string{"true": "~", "x": `a: "b" # c`, "z": "<<"},
			Class:   "bulk", Repeat: "never", Split: []sycamorerun.Target{{Service: "007", Weight: 1}},
		}),
		"1e3/service/007": marshal(sycamorerun.Service{
			Slots: 1, Connections: 1, Timeout: sycamorerun.Duration(time.Hour),
			Idle: sycamorerun.Duration(61500 * time.Millisecond), Retries: 1e-9,
		}),
	}
	roundTrip(t, "1e3", items)
	_, err := parser.Render("b", items)
	is.True(err != nil)
	text, err := parser.Render("a", map[sycamorerun.Path]sycamorerun.Item{
		"a/hold": sycamorerun.Item(`{"operator":"ann","reason":"","since":"2026-01-02T03:04:05Z"}`),
	})
	is.NoErr(err)
	is.Equal(string(text), "team: a\n")
}

// FuzzParse guards against panics and hangs on any text, accepted texts that
// change in a round trip, and texts that are read differently in parts.
func FuzzParse(f *testing.F) {
	f.Add(example)
	f.Add(adminExample)
	f.Add("team: a\nservices: &x {s: *x}")
	f.Add("team: a\n--- {}\n...")
	f.Add("team: &x a\nservices: # x\n  s: {}\n  t:\n    slots: 1\nroutes:\n  r: {split: [{service: *x}]}")
	f.Fuzz(func(t *testing.T, text string) {
		subtree, faults := parser.Parse([]byte(text))
		if len(faults) == 0 {
			roundTrip(t, subtree.Team, subtree.Items)
		}
		if parts, refused := parser.ParseParts([]byte(text)); len(refused) == 0 {
			is := is.New(t)
			is.Equal(faults, nil)
			is.Equal(parts, subtree)
		}
	})
}

// TestSettingsPage guards against a docs/settings.md that differs from the tables
// of fields and codes.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	for _, field := range parser.Fields() {
		row := field.Row()
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/settings.md lacks the row %s", row)
		}
	}
	for code, meaning := range parser.Codes {
		if row := "| `" + code + "` | " + meaning + " |"; !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/settings.md lacks the row %s", row)
		}
	}
}
