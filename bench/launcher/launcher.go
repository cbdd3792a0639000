// Package launcher starts a small fleet of real processes on loopback for
// measurements. It is a development tool; deployed programs start no process.
package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopLimit is how long a process may take to end after SIGTERM.
const stopLimit = 15 * time.Second

// LineHandler receives each line that a process logs.
type LineHandler func(process, line string)

// Process is one running program.
type Process struct {
	Name    string
	command *exec.Cmd
	drained sync.WaitGroup
}

// Launcher starts programs from a directory of binaries. Set the fields
// before Start.
type Launcher struct {
	Binaries   string
	HandleLine LineHandler

	mutex     sync.Mutex
	processes []*Process
}

// Start starts program under a name; its log lines go to Line.
func (l *Launcher) Start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	command := exec.CommandContext(ctx, filepath.Join(l.Binaries, program), args...)
	// The process ends with this one, also when a test panics.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := command.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command}
	process.drained.Go(func() { l.read(name, logs) })
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.processes = append(l.processes, process)
	return process, nil
}

func (l *Launcher) read(name string, logs io.Reader) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		l.HandleLine(name, scanner.Text())
	}
}

// Stop ends every process in reverse order of start and waits for them.
func (l *Launcher) Stop() {
	l.mutex.Lock()
	processes := l.processes
	l.processes = nil
	l.mutex.Unlock()
	for _, p := range processes {
		_ = p.Signal(syscall.SIGTERM) // Fails when the process has ended.
	}
	for _, p := range processes {
		p.wait()
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // Fails when the process has ended.
	p.wait()
}

// Stop asks the process to end and waits for it.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // Fails when the process has ended.
	p.wait()
}

// wait waits for the end of the process and kills it after stopLimit.
func (p *Process) wait() {
	_ = p.Signal(syscall.SIGCONT) // A paused process does not see SIGTERM.
	timer := time.AfterFunc(stopLimit, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	p.drained.Wait()
	_ = p.command.Wait() // The exit status of a stopped process is not of interest.
}

// Usage is what a process has used so far.
type Usage struct {
	CPU      time.Duration
	Resident int64
}

// clockTick is the unit of processor times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// Usage reads the processor time and resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	pid := p.command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	// The fields after the command name, which may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	numbers := make([]int64, 0, 3)
	for _, i := range []int{userTime, systemTime, residentPages} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "usage")
		}
		numbers = append(numbers, n)
	}
	return Usage{
		CPU:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}

// Counters are what the kernel has counted for a process so far.
type Counters struct {
	// Reads and Writes are system calls that read or wrote, also those that
	// found nothing to read. Other system calls are not counted.
	Reads, Writes int64
	// BytesRead and BytesWritten are the bytes that these moved.
	BytesRead, BytesWritten int64
	// Switches are context switches of all threads. A thread that waits and
	// wakes up makes one.
	Switches int64
}

// Counters reads the counters of the process. Those of threads that ended are
// missing; the Go runtime keeps its threads.
func (p *Process) Counters() (Counters, error) {
	directory := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	numbers, err := fields(filepath.Join(directory, "io"))
	if err != nil {
		return Counters{}, err
	}
	counters := Counters{
		Reads: numbers["syscr"], Writes: numbers["syscw"], BytesRead: numbers["rchar"], BytesWritten: numbers["wchar"],
	}
	threads, err := filepath.Glob(filepath.Join(directory, "task", "*", "status"))
	if err != nil {
		return Counters{}, errors.Wrap(err, "threads")
	}
	for _, thread := range threads {
		if numbers, err = fields(thread); err != nil {
			return Counters{}, err
		}
		counters.Switches += numbers["voluntary_ctxt_switches"] + numbers["nonvoluntary_ctxt_switches"]
	}
	return counters, nil
}

// fields reads the numbers of a file with lines such as "name: 12".
func fields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "counters")
	}
	numbers := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			numbers[name] = n
		}
	}
	return numbers, nil
}
