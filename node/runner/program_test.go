package runner

import (
	"bytes"
	"os"
	"os/signal"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/loader"
)

// logBuffer is a log that a test can read while the program writes to it.
type logBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

// count returns the number of lines that contain all parts.
func (l *logBuffer) count(parts ...string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
next:
	for line := range strings.SplitSeq(l.buffer.String(), "\n") {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		count++
	}
	return count
}

// testProgram runs a Program in the test process, to which it can send signals.
type testProgram struct {
	t      *testing.T
	log    logBuffer
	file   string
	ended  chan int
	exited chan int
}

func startProgram(t *testing.T, args ...string) *testProgram {
	t.Helper()
	// Without this, a signal before or after the run would end the test process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(signals) })
	p := &testProgram{t: t, file: filepath.Join(t.TempDir(), "settings"), ended: make(chan int, 1), exited: make(chan int, 1)}
	p.write("# comment\nname = from-file\ndrain-delay = 1s\nstrange = 1\n")
	args = append(args,
		"--settings-file="+p.file, "--availability-zone=z", "--region=r", "--insecure-peers", "--log-level=info",
		"--callers="+freeAddress(t).String(), "--peers="+freeAddress(t).String(), "--operators="+freeAddress(t).String(), "--store="+freeAddress(t).String(),
	)
	started := &Program{Name: "srnode", Exit: func(code int) { p.exited <- code }}
	go func() {
		p.ended <- started.Run(args, func(string) (string, bool) { return "", false }, loader.Streams{Out: &p.log, Err: &p.log})
	}()
	p.await("node started", "node=from-file")
	return p
}

func (p *testProgram) write(text string) {
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testProgram) signal(s syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testProgram) await(parts ...string) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); p.log.count(parts...) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("no line with %q in\n%s", parts, p.log.buffer.String())
		}
	}
}

// Guards against a process that a SIGHUP or an invalid settings file ends, and against
// settings of an invalid file that are partly applied.
func TestSettingsAreReadAgain(t *testing.T) {
	is := is.New(t)
	p := startProgram(t, "--max-body=1000")
	p.await("unknown names", "strange")
	p.signal(syscall.SIGHUP)
	p.await("SIGHUP received")
	p.write("name = from-file\ndrain-delay = 50ms\nstandby-delay = never\n")
	p.await("settings are invalid; keeping the active settings", "standby-delay", "never")
	is.Equal(p.log.count("settings changed"), 0)
	p.write("name = from-file\nstop-timeout = 1s\n")
	p.await("settings are invalid; keeping the active settings", "stop-timeout", "1s")
	p.write("name = from-file\ndrain-delay = 50ms\nmax-body = 5\nmode = gossip\n")
	p.await("settings changed", "settings=drain-delay")
	p.await("take effect at the next start", "settings=mode")
	is.Equal(p.log.count("settings changed", "max-body"), 0) // the flag takes precedence over the file
	is.NoErr(os.Remove(p.file))
	p.await("failed to read the settings file; keeping the active settings")
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.await("draining", "delay=50ms")
	is.Equal(<-p.ended, 0)
}

// Guards against calls that are interrupted when a supervisor repeats SIGTERM, and
// against a node that can't be ended before its drain is complete.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	// The drain must outlast the signals. A busy machine can suspend this process
	// for more than a second.
	p := startProgram(t, "--drain-delay=5s")
	p.signal(syscall.SIGTERM)
	p.await("draining")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.await("SIGHUP received")
	is.Equal(len(p.exited), 0)
	p.signal(syscall.SIGINT)
	is.Equal(<-p.exited, 1)
	is.Equal(<-p.ended, 0) // Exit is replaced, so the program continues
}

// Guards against a node that can't start before its fleet's settings file exists, and
// against a wrong path on the command line that goes unnoticed.
func TestSettingsFileAtStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("drain-delay = soon\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const variable = "SYCAMORERUN_SETTINGS_FILE"
	cases := map[string]struct {
		args      []string
		variables map[string]string
		code      int
		line      string
	}{
		"flag, missing":     {args: []string{"--settings-file=" + path + "x"}, code: loader.ExitUsage, line: "no such file"},
		"variable, missing": {variables: map[string]string{variable: path + "x"}, line: "does not exist"},
		"faulty":            {args: []string{"--settings-file=" + path}, line: "faulty and ignored: --drain-delay"},
		"stop too short":    {args: []string{"--stop-timeout=1s"}, code: loader.ExitUsage, line: "--stop-timeout"},
		"faulty without it": {args: []string{"--settings-file=" + path, "--region="}, code: loader.ExitUsage, line: "--region"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out logBuffer
			args := append([]string{"--name=n", "--availability-zone=z", "--region=r", "--insecure-peers", "--print"}, c.args...)
			lookup := func(name string) (string, bool) {
				value, ok := c.variables[name]
				return value, ok
			}
			is.Equal((&Program{Name: "srnode"}).Run(args, lookup, loader.Streams{Out: &out, Err: &out}), c.code)
			is.Equal(out.count(c.line), 1)
		})
	}
}

// Guards against a setting that is registered as reloadable but that a reload does not
// apply.
func TestEveryReloadableIsApplied(t *testing.T) {
	is := is.New(t)
	var out logBuffer
	args := []string{"--name=n", "--availability-zone=z", "--region=r", "--insecure-peers", "--print"}
	(&Program{Name: "srnode"}).Run(args, func(string) (string, bool) { return "", false }, loader.Streams{Out: &out, Err: &out})
	is.Equal(out.count(" running"), len(reloadable))
	loaded := Settings{
		StandbyDelay: 1, MaxHeader: 1, MaxBody: 1, HeaderTimeout: 1, IdleTimeout: 1,
		AnnouncePeriod: 1, LogLevel: "warn", DrainDelay: 1, StopTimeout: 1,
	}
	var active Settings
	for name, change := range reloadable {
		is.Equal(out.count(name+" ", " running"), 1)
		before := active
		change(&active, &loaded)
		is.True(!reflect.DeepEqual(active, before))
	}
	is.Equal(active, loaded)
}
