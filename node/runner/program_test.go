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

// lines is a log that a test reads while the program writes.
type lines struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

// count returns the number of lines with all parts.
func (l *lines) count(parts ...string) int {
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

// program is a Program that a test runs and sends signals to.
type program struct {
	t      *testing.T
	log    lines
	file   string
	ended  chan int
	exited chan int
}

func run(t *testing.T, args ...string) *program {
	t.Helper()
	// Without this a signal beside the run would end the test process.
	ignored := make(chan os.Signal, 8)
	signal.Notify(ignored, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(ignored) })
	p := &program{t: t, file: filepath.Join(t.TempDir(), "settings"), ended: make(chan int, 1), exited: make(chan int, 1)}
	p.write("# comment\nname = from-file\ndrain-delay = 1s\nstrange = 1\n")
	args = append(args,
		"--settings-file="+p.file, "--availability-zone=z", "--region=r", "--insecure-peers", "--log-level=info",
		"--callers="+free(t).String(), "--peers="+free(t).String(), "--operators="+free(t).String(), "--store="+free(t).String(),
	)
	subject := &Program{Name: "srnode", Exit: func(code int) { p.exited <- code }}
	go func() {
		p.ended <- subject.Run(args, func(string) (string, bool) { return "", false }, loader.Streams{Out: &p.log, Err: &p.log})
	}()
	p.await("node started", "node=from-file")
	return p
}

func (p *program) write(text string) {
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) signal(s syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) await(parts ...string) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); p.log.count(parts...) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("no line with %q in\n%s", parts, p.log.buffer.String())
		}
	}
}

// Guards against a process that a signal or a faulty settings file ends, and
// against settings that are taken in part.
func TestSettingsAreReadAgain(t *testing.T) {
	is := is.New(t)
	p := run(t, "--max-body=1000")
	p.await("unknown names", "strange")
	p.signal(syscall.SIGHUP)
	p.await("SIGHUP received")
	p.write("name = from-file\ndrain-delay = 50ms\nstandby-delay = never\n")
	p.await("settings are faulty; they stay", "standby-delay", "never")
	is.Equal(p.log.count("settings changed"), 0)
	p.write("name = from-file\ndrain-delay = 50ms\nmax-body = 5\nmode = gossip\n")
	p.await("settings changed", "settings=drain-delay")
	p.await("take effect at the next start", "settings=mode")
	is.Equal(p.log.count("settings changed", "max-body"), 0) // the flag takes precedence
	is.NoErr(os.Remove(p.file))
	p.await("can't be read; the settings stay")
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.await("draining", "delay=50ms")
	is.Equal(<-p.ended, 0)
}

// Guards against a supervisor that repeats SIGTERM and so breaks calls off, and
// against a node that can't be ended before its drain is over.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	// The drain must outlast the signals. A busy machine can hold this process
	// up for more than a second.
	p := run(t, "--drain-delay=5s")
	p.signal(syscall.SIGTERM)
	p.await("draining")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.await("SIGHUP received")
	is.Equal(len(p.exited), 0)
	p.signal(syscall.SIGINT)
	is.Equal(<-p.exited, 1)
	is.Equal(<-p.ended, 0) // the exit is a function of the test
}

// Guards against a start that depends on when a fleet's settings file comes,
// and against one that hides a wrong path.
func TestSettingsFileAtStart(t *testing.T) {
	there := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(there, []byte("drain-delay = soon\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const variable = "SYCAMORERUN_SETTINGS_FILE"
	cases := map[string]struct {
		args      []string
		variables map[string]string
		code      int
		line      string
	}{
		"flag, missing":     {args: []string{"--settings-file=" + there + "x"}, code: loader.ExitUsage, line: "no such file"},
		"variable, missing": {variables: map[string]string{variable: there + "x"}, line: "does not exist"},
		"faulty":            {args: []string{"--settings-file=" + there}, line: "faulty and ignored: --drain-delay"},
		"faulty without it": {args: []string{"--settings-file=" + there, "--region="}, code: loader.ExitUsage, line: "--region"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out lines
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

// Guards against a setting that is said to change in a running process and has
// no effect there.
func TestEveryReloadableIsApplied(t *testing.T) {
	is := is.New(t)
	var out lines
	args := []string{"--name=n", "--availability-zone=z", "--region=r", "--insecure-peers", "--print"}
	(&Program{Name: "srnode"}).Run(args, func(string) (string, bool) { return "", false }, loader.Streams{Out: &out, Err: &out})
	is.Equal(out.count(" running"), len(changes))
	read := Settings{
		StandbyDelay: 1, MaxHeader: 1, MaxBody: 1, HeaderTimeout: 1, IdleTimeout: 1,
		AnnouncePeriod: 1, LogLevel: "warn", DrainDelay: 1, DrainTimeout: 1,
	}
	var inForce Settings
	for name, change := range changes {
		is.Equal(out.count(name+" ", " running"), 1)
		before := inForce
		change(&inForce, &read)
		is.True(!reflect.DeepEqual(inForce, before))
	}
	is.Equal(inForce, read)
}
