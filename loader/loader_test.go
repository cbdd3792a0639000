package loader_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/loader"
)

type settings struct {
	name  string
	delay time.Duration
	token string
}

func newLoader(s *settings) *loader.Loader {
	l := loader.New("program")
	loader.Add(l, &s.name, "name", "one", loader.Name(), "name of the instance")
	loader.Add(l, &s.delay, "standby-delay", "500ms", loader.Duration(0, 10*time.Second), "delay")
	hidden := loader.Text("a token")
	hidden.Secret = true
	loader.Add(l, &s.token, "token", "", hidden, "token")
	return l
}

func lookup(variables map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		value, ok := variables[name]
		return value, ok
	}
}

// TestPrecedence guards against a setting that is read from the wrong source.
func TestPrecedence(t *testing.T) {
	cases := map[string]struct {
		args      []string
		variables map[string]string
		delay     time.Duration
	}{
		"default":             {delay: 500 * time.Millisecond},
		"environment":         {variables: map[string]string{"SYCAMORERUN_STANDBY_DELAY": "1s"}, delay: time.Second},
		"flag":                {args: []string{"--standby-delay=2s"}, delay: 2 * time.Second},
		"flag on environment": {args: []string{"--standby-delay=2s"}, variables: map[string]string{"SYCAMORERUN_STANDBY_DELAY": "1s"}, delay: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s settings
			faults, err := newLoader(&s).Load(c.args, lookup(c.variables), &bytes.Buffer{})
			is.NoErr(err)
			is.Equal(len(faults), 0)
			is.Equal(s.delay, c.delay)
		})
	}
}

// TestEveryFaultIsListed guards against a start that reports only the first of
// several faults.
func TestEveryFaultIsListed(t *testing.T) {
	is := is.New(t)
	var s settings
	faults, err := newLoader(&s).Load([]string{"--name=No", "--standby-delay=5"}, lookup(nil), &bytes.Buffer{})
	is.NoErr(err)
	is.Equal(len(faults), 2)
	is.Equal(faults[0].String(), `--name="No" (flag): allowed: 1 to 63 of a-z, 0-9 and -`)
	is.Equal(faults[1].String(), `--standby-delay="5" (flag): allowed: 0s to 10s`)
}

// TestPrintHidesSecrets guards against secrets in printed settings.
func TestPrintHidesSecrets(t *testing.T) {
	is := is.New(t)
	var s settings
	l := newLoader(&s)
	_, err := l.Load([]string{"--token=hunter2"}, lookup(nil), &bytes.Buffer{})
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(l.Print(&out))
	is.True(!strings.Contains(out.String(), "hunter2"))
	is.True(strings.Contains(out.String(), "standby-delay  500ms     default"))
}

// TestStart guards against wrong exit codes for faulty settings, --help and
// --print.
func TestStart(t *testing.T) {
	cases := map[string]struct {
		args    []string
		proceed bool
		code    int
	}{
		"good":       {args: nil, proceed: true},
		"help":       {args: []string{"--help"}},
		"print":      {args: []string{"--print"}},
		"unknown":    {args: []string{"--nothing=1"}, code: loader.ExitUsage},
		"positional": {args: []string{"word"}, code: loader.ExitUsage},
		"fault":      {args: []string{"--name="}, code: loader.ExitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s settings
			proceed, code := newLoader(&s).Start(c.args, lookup(nil), loader.Streams{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}})
			is.Equal(proceed, c.proceed)
			is.Equal(code, c.code)
		})
	}
}
