package commander_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"sycamorerun/api/gen/fleet"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/commander"
	"sycamorerun/parser"
)

const (
	serviceItem  = `{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`
	settingsFile = "team: quoting\nservices:\n  quote-desk: {slots: 6}\n"
	proposal     = "6f1c3f2e-4f5b-4a53-9a59-3c1d9f2f7a10"
)

// TestExitCodes guards against commands with a wrong exit code or without the
// expected output.
func TestExitCodes(t *testing.T) {
	withStatus := func(status string) *fake {
		return &fake{submit: func(payload *settings.SubmitPayload) (*settings.Outcome, error) {
			return &settings.Outcome{ID: payload.ID, Status: status, Faults: []*settings.Fault{{Code: "c", Path: "p", Reason: "r"}}}, nil
		}}
	}
	failing := func(name string) *fake {
		return &fake{
			submit:  func(*settings.SubmitPayload) (*settings.Outcome, error) { return nil, problem(name) },
			outcome: func(string) (*settings.Outcome, error) { return nil, problem(name) },
		}
	}
	submitFails := failing("other")
	submitFails.outcome = nil
	for name, test := range map[string]struct {
		fake *fake
		args string
		code int
		text string
	}{
		"apply":            {&fake{}, "apply -", 0, "slots: 5 -> 6"},
		"apply and wait":   {&fake{}, "apply - --wait", 0, "in force on all 2 nodes"},
		"refused":          {withStatus("refused"), "apply -", 3, "p: r (c)"},
		"conflict":         {withStatus("conflict"), "apply -", 4, "conflict"},
		"pending":          {withStatus("pending"), "apply -", 5, "pending"},
		"server error":     {failing("other"), "apply -", 6, "srctl outcome"},
		"error resolved":   {submitFails, "apply -", 0, "accepted, version 8"},
		"unavailable":      {failing("unavailable"), "apply - --timeout 500ms", 6, "srctl outcome"},
		"forbidden":        {failing("forbidden"), "apply -", 9, "code-of-forbidden"},
		"invalid":          {failing("invalid"), "apply -", 3, "code-of-invalid"},
		"no file":          {&fake{}, "apply missing.yaml", 1, "missing.yaml"},
		"bad id":           {&fake{}, "apply - --id x", 2, "UUID"},
		"outcome":          {&fake{}, "outcome " + proposal, 0, "accepted, version 8"},
		"outcome id":       {&fake{}, "outcome x", 2, "UUID"},
		"outcome missing":  {&fake{outcome: func(string) (*settings.Outcome, error) { return nil, problem("missing") }}, "outcome " + proposal, 1, "missing"},
		"diff":             {&fake{}, "diff -", 0, "~ quoting/service/quote-desk"},
		"get":              {&fake{}, "get quoting", 0, "# version 7\nteam: quoting\n"},
		"history":          {&fake{}, "history quoting", 0, "9223372036854775809  2026"},
		"history json":     {&fake{}, "history -o json", 0, `"version": 9223372036854775809`},
		"history limit":    {&fake{}, "history --limit 0", 2, "1..1024"},
		"hold":             {&fake{}, "hold quoting --reason x --until 2h", 0, "accepted"},
		"hold ended":       {&fake{}, "hold quoting --reason x --until 2020-01-01T00:00:00Z", 2, "future"},
		"release":          {&fake{}, "release quoting", 0, "accepted"},
		"team name":        {&fake{}, "release a/b", 2, "a-z0-9-"},
		"revert":           {&fake{}, "revert quoting 5", 0, "accepted"},
		"revert to none":   {&fake{}, "revert quoting 0", 2, "version"},
		"proposals":        {&fake{}, "proposals quoting", 0, "by ann?[2J at"},
		"reject":           {&fake{}, "reject quoting " + proposal, 0, "accepted"},
		"no proposal":      {&fake{}, "approve quoting 00000000-0000-4000-8000-000000000000", 1, "no proposal"},
		"status":           {&fake{}, "status", 0, "node-1"},
		"members":          {&fake{}, "members", 0, "127.0.0.1:1"},
		"convergence":      {&fake{}, "convergence", 0, "newest version 8"},
		"late":             {&fake{}, "convergence --wait 9 --timeout 500ms", 8, "0 of 2 nodes"},
		"explain":          {&fake{}, "explain get http://Quotes.example:80/quotes -H X-Channel:agent", 0, "quoting/route/quotes"},
		"explained state":  {&fake{}, "explain GET http://a/", 0, "25.0% of the calls are for gone"},
		"status of routes": {&fake{}, "status", 0, "unserved  2"},
		"routes":           {&fake{}, "routes quoting", 0, "quote-desk: 3, gone: 0"},
		"accounts":         {&fake{}, "accounts", 0, "notary   Notary  2     0.5   10     3"},
		"unserved routes":  {&fake{}, "routes quoting --unserved -o json", 0, `"quoting/route/quotes"`},
		"explain header":   {&fake{}, "explain GET http://a/ -H x", 2, "NAME: VALUE"},
		"server":           {&fake{}, "status --server ftp://x", 2, "ftp://x"},
		"output":           {&fake{}, "status -o xml", 2, "xml"},
		"command":          {&fake{}, "aply", 2, "unknown command"},
		"subcommand":       {&fake{}, "token old", 2, "unknown command"},
		"required flag":    {&fake{}, "hold quoting", 2, "reason"},
		"completion":       {&fake{}, "completion bash", 0, "complete"},
		"completed":        {&fake{}, "__complete status --output j", 0, "json"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := execute(t, map[string]string{"SYCAMORERUN_SERVER": test.fake.serve(t)}, strings.Fields(test.args)...)
			is.Equal(got.code, test.code)
			if !strings.Contains(got.out+got.err, test.text) {
				t.Errorf("output lacks %q: stdout %q, stderr %q", test.text, got.out, got.err)
			}
		})
	}
}

// TestPayloads guards against commands that send a wrong payload, above all a
// base version or content hash other than the one that the operator decided on.
func TestPayloads(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	environment := map[string]string{"SYCAMORERUN_SERVER": f.serve(t)}
	run := func(args string) *settings.SubmitPayload {
		is.Equal(execute(t, environment, strings.Fields(args)...).code, 0)
		return f.submitted[len(f.submitted)-1]
	}
	sent := run("apply -")
	is.Equal(*sent.Base, uint64(7))
	is.Equal(*sent.Settings, settingsFile)
	is.Equal(sent.Team, "quoting")
	is.Equal(run("apply - --id "+proposal).ID, proposal)
	is.Equal(*run("hold quoting --reason x --until 2h").Until, "2026-01-02T05:04:05Z")
	is.Equal(*run("revert quoting 5").Version, uint64(5))
	sent = run("approve quoting " + proposal)
	is.Equal(*sent.Proposal, proposal)
	is.Equal(*sent.Content, "c0ffee")
	is.Equal(*run("approve quoting " + proposal + " --content beef").Content, "beef")
	execute(t, environment, "explain", "get", "http://Quotes.example:80/quotes?x", "-H", "X-Channel: agent")
	is.Equal(f.explained.Host, "quotes.example")
	is.Equal(f.explained.Path, "/quotes")
	is.Equal(f.explained.Headers, map[string]string{"x-channel": "agent"})
	f.check = func(*settings.CheckPayload) (*settings.CheckResult, error) {
		return &settings.CheckResult{Version: 7}, nil
	}
	before := len(f.submitted)
	is.Equal(execute(t, environment, "apply", "-").code, 0)
	is.Equal(len(f.submitted), before) // a file without differences submits nothing
}

// dropConnection closes the client's connection without a response.
func dropConnection(w http.ResponseWriter) {
	if connection, _, err := w.(http.Hijacker).Hijack(); err == nil {
		connection.Close()
	}
}

// TestLostAnswer guards against making a change twice when the response to its
// submission is lost: srctl must query the outcome first, and submit the change
// again only when the node does not know its id, under the same id.
func TestLostAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		known     bool
		submitted int
	}{
		"the change took effect": {true, 1},
		"the change was lost":    {false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{}
			f.outcome = func(id string) (*settings.Outcome, error) {
				if !test.known {
					return nil, problem("missing")
				}
				return &settings.Outcome{ID: id, Status: "accepted", Version: pointer(uint64(8))}, nil
			}
			var dropped atomic.Bool
			f.intercept = func(w http.ResponseWriter, r *http.Request) bool {
				if r.Method == http.MethodPost && r.URL.Path == "/v1/changes" && dropped.CompareAndSwap(false, true) {
					f.submitted = append(f.submitted, &settings.SubmitPayload{})
					dropConnection(w)
					return false
				}
				return true
			}
			got := execute(t, map[string]string{"SYCAMORERUN_SERVER": f.serve(t)}, "apply", "-")
			is.Equal(got.code, commander.ExitOK)
			is.Equal(len(f.submitted), test.submitted)
			is.Equal(len(f.queried), 1)
			is.True(strings.Contains(got.out, f.queried[0]))
			if !test.known {
				is.Equal(f.submitted[1].ID, f.queried[0])
			}
		})
	}
}

// TestUnknown guards against reporting a change as failed when its outcome stays
// unknown, and against an error message without the change's id.
func TestUnknown(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	unknown := func(id string) (*settings.Outcome, error) {
		return &settings.Outcome{ID: id, Status: "unknown", Retry: pointer(int64(1))}, nil
	}
	f.submit = func(payload *settings.SubmitPayload) (*settings.Outcome, error) { return unknown(payload.ID) }
	f.outcome = unknown
	environment := map[string]string{"SYCAMORERUN_SERVER": f.serve(t)}
	got := execute(t, environment, "apply", "-", "--timeout", "500ms")
	is.Equal(got.code, commander.ExitOutcomeUnknown)
	is.Equal(len(f.submitted), 1)
	is.True(strings.Contains(got.err, "srctl outcome "+f.submitted[0].ID))
	got = execute(t, environment, "apply", "-", "--timeout", "500ms", "--output", "json")
	var message map[string]any
	is.NoErr(json.Unmarshal([]byte(got.err), &message))
	is.Equal(message["id"], f.submitted[1].ID)
}

// TestFallback guards against a failover that does not happen, or that makes a
// second change, when a node refuses connections or accepts them and does not
// respond: the next node must get the same change.
func TestFallback(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := listener.Addr().String()
	listener.Close()

	silent := &fake{}
	unblock := make(chan struct{})
	silent.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/changes" {
			<-unblock
		}
		return true
	}
	address := silent.serve(t)
	t.Cleanup(func() { close(unblock) })
	second := &fake{outcome: func(string) (*settings.Outcome, error) { return nil, problem("missing") }}
	got := execute(t, nil, "apply", "-", "--server", closed, "--server", address, "--server", second.serve(t), "--timeout", "2s")
	is.Equal(got.code, commander.ExitOK)
	is.Equal(len(second.submitted), 1)
	is.Equal(second.queried, []string{second.submitted[0].ID})

	is.Equal(execute(t, nil, "apply", "-", "--server", closed).code, commander.ExitUnreachable)
	is.Equal(execute(t, nil, "convergence", "--wait", "3", "--server", closed, "--timeout", "50ms").code, commander.ExitUnreachable)
}

// TestToken guards against a wrong precedence of the token's sources and against
// errors that contain the token.
func TestToken(t *testing.T) {
	is := is.New(t)
	environment := map[string]string{"SYCAMORERUN_SERVER": (&fake{}).serve(t), "SYCAMORERUN_TOKEN": ""}
	is.Equal(execute(t, environment, "status").code, commander.ExitUnauthorized)
	is.Equal(execute(t, environment, "status", "--token", "wrong").code, commander.ExitUnauthorized)
	is.Equal(execute(t, environment, "status", "--token", operatorToken).code, 0)
	is.Equal(execute(t, environment, "status", "--token", operatorToken+" x").code, commander.ExitUsage)
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte(operatorToken+"\n"), 0o600))
	is.Equal(execute(t, environment, "status", "--token-file", file).code, 0)
	is.Equal(execute(t, environment, "status", "--token-file", file, "--token", operatorToken).code, commander.ExitUsage)
	environment["SYCAMORERUN_TOKEN"] = "wrong"
	is.Equal(execute(t, environment, "status", "--token-file", file).code, 0) // a flag overrides the environment
	is.Equal(execute(t, environment, "status", "--help").code, 0)
}

// TestWait guards against --wait ending while a node is silent or has an older
// version, and against progress output when stderr is not a terminal.
func TestWait(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	results := []*fleet.ConvergenceResult{
		{Newest: 8, Nodes: 2, Tallies: []*fleet.Tally{{Version: 7, Nodes: 1}, {Version: 8, Nodes: 1}}},
		{Newest: 8, Nodes: 1, Silent: 1, Tallies: []*fleet.Tally{{Version: 8, Nodes: 1}}},
		convergedAt(9),
	}
	queries := 0
	f.convergence = func() *fleet.ConvergenceResult {
		queries++
		return results[min(queries, len(results))-1]
	}
	environment := map[string]string{"SYCAMORERUN_SERVER": f.serve(t), "terminal": "yes"}
	got := execute(t, environment, "apply", "-", "--wait")
	is.Equal(got.code, 0)
	is.Equal(queries, 3)
	is.True(strings.Contains(got.err, "\rversion 8: 1 of 1 nodes, 1 silent"))
	delete(environment, "terminal")
	is.Equal(execute(t, environment, "apply", "-", "--wait").err, "")
}

// TestValidate guards against offline checks that miss a fault or report it
// without its location, and against skipping the check at a node.
func TestValidate(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	admin := write("admin.yaml", "team: admin\nteams: {a: {}}\n")
	good := write("a.yaml", "team: a\nservices: {s: }\n")
	route := write("b.yaml", "team: b\nroutes: {r: {split: [{service: t}]}}\n")
	bad := write("bad.yaml", "team: a\nservices:\n  s: {slots: 0}\n")
	online := &fake{check: func(*settings.CheckPayload) (*settings.CheckResult, error) {
		return &settings.CheckResult{Faults: []*settings.Fault{{Code: "no-team", Path: "a", Reason: "r"}}}, nil
	}}
	for name, test := range map[string]struct {
		args []string
		code int
		text string
	}{
		"valid":      {[]string{good}, 0, good + ": valid"},
		"part":       {[]string{route}, 0, "valid"},
		"tree":       {[]string{admin, good}, 0, "valid"},
		"tree fault": {[]string{admin, route}, 3, route + ": b/route/r: route r sends to service \"t\""},
		"fault":      {[]string{bad}, 3, bad + ":3: services.s.slots: 0 is outside 1..1024 (out-of-bounds)"},
		"twice":      {[]string{good, good}, 3, "duplicate"},
		"json":       {[]string{bad, "-o", "json"}, 3, `"line": 3`},
		"online":     {[]string{good, "--server", online.serve(t)}, 3, "no-team"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := execute(t, nil, append([]string{"validate"}, test.args...)...)
			is.Equal(got.code, test.code)
			if !strings.Contains(got.out, test.text) {
				t.Errorf("output lacks %q: stdout %q", test.text, got.out)
			}
		})
	}
}

// TestGet guards against printing a settings file that can't be applied again.
func TestGet(t *testing.T) {
	is := is.New(t)
	got := execute(t, map[string]string{"SYCAMORERUN_SERVER": (&fake{}).serve(t)}, "get", "quoting")
	subtree, faults := parser.Parse([]byte(got.out))
	is.Equal(faults, nil)
	is.Equal(string(subtree.Items["quoting/service/quote-desk"]), serviceItem)
}

// TestSilentServer guards against a command that exceeds --timeout when a server
// accepts the connection and does not respond.
func TestSilentServer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	start := time.Now()
	is.Equal(execute(t, nil, "status", "--server", listener.Addr().String(), "--timeout", "200ms").code, commander.ExitUnreachable)
	is.True(time.Since(start) < 5*time.Second)
}

// TestPage guards against docs/srctl.md lacking a command, with its usage and its
// summary, or an exit code, and against a command without an example.
func TestPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/srctl.md")
	is.NoErr(err)
	page := string(data)
	var walk func(*cobra.Command)
	walk = func(command *cobra.Command) {
		if command.Runnable() && !command.HasSubCommands() {
			use := strings.TrimPrefix(command.UseLine(), "srctl ")
			use = strings.TrimSuffix(use, " [flags]")
			if row := fmt.Sprintf("| `%s` | %s |", use, command.Short); !strings.Contains(page, row) {
				t.Errorf("docs/srctl.md lacks %s", row)
			}
			is.True(command.Example != "")
		}
		for _, child := range command.Commands() {
			walk(child)
		}
	}
	walk((&commander.Commander{}).Root())
	for code := range commander.ExitUnauthorized + 1 {
		is.True(strings.Contains(page, fmt.Sprintf("| %d |", code)))
	}
}
