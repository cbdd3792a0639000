// Package launcher starts real processes for tests and measurements. It is a
// development tool; deployed programs start no processes.
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

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 15 * time.Second

// LineHandler is called with each line that a process logs.
type LineHandler func(process, line string)

// Process is a process that a Launcher started.
type Process struct {
	Name      string
	command   *exec.Cmd
	logReader sync.WaitGroup
}

// Launcher starts programs from the directory Binaries. Set the fields before Start.
type Launcher struct {
	Binaries   string
	HandleLine LineHandler

	mutex     sync.Mutex
	processes []*Process
}

// Start starts a program as the process with a name. Its log lines go to HandleLine.
func (l *Launcher) Start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	command := exec.CommandContext(ctx, filepath.Join(l.Binaries, program), args...)
	// The kernel kills the process when the parent ends, also when a test panics.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := command.StderrPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open stderr pipe")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command}
	process.logReader.Go(func() { l.readLogs(name, logs) })
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.processes = append(l.processes, process)
	return process, nil
}

func (l *Launcher) readLogs(name string, logs io.Reader) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		l.HandleLine(name, scanner.Text())
	}
}

// Stop sends SIGTERM to every process and waits for them.
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

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // Fails when the process has ended.
	p.wait()
}

// Stop sends SIGTERM to the process and waits for its end.
func (p *Process) Stop() {
	_ = p.Signal(syscall.SIGTERM) // Fails when the process has ended.
	p.wait()
}

// wait waits for the end of the process and kills it after stopTimeout.
func (p *Process) wait() {
	_ = p.Signal(syscall.SIGCONT) // A paused process handles SIGTERM only after SIGCONT.
	timer := time.AfterFunc(stopTimeout, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	p.logReader.Wait()
	_ = p.command.Wait() // The exit status of a stopped process is irrelevant.
}

// Usage is the processor time that a process has used and its resident memory in
// bytes.
type Usage struct {
	CPU      time.Duration
	Resident int64
}

// clockTick is the unit of processor times in /proc, which is 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// Usage reads the processor time and resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	pid := p.command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	// The fields are split after the command name, since it may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	numbers := make([]int64, 0, 3)
	for _, i := range []int{userTime, systemTime, residentPages} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "read process usage")
		}
		numbers = append(numbers, n)
	}
	return Usage{
		CPU:      time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}

// Counters are the counters that the kernel keeps for a process.
type Counters struct {
	// Reads and Writes count the system calls that read or write, also those without
	// data. Other system calls are not counted.
	Reads, Writes int64
	// BytesRead and BytesWritten count the bytes that these calls transferred.
	BytesRead, BytesWritten int64
	// Switches counts the context switches of all threads. A thread that blocks and
	// wakes up adds one.
	Switches int64
}

// Counters reads the counters of the process. The context switches of threads that
// ended are missing, but the Go runtime normally keeps its threads.
func (p *Process) Counters() (Counters, error) {
	directory := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	numbers, err := readCounters(filepath.Join(directory, "io"))
	if err != nil {
		return Counters{}, err
	}
	counters := Counters{
		Reads: numbers["syscr"], Writes: numbers["syscw"], BytesRead: numbers["rchar"], BytesWritten: numbers["wchar"],
	}
	threads, err := filepath.Glob(filepath.Join(directory, "task", "*", "status"))
	if err != nil {
		return Counters{}, errors.Wrap(err, "list threads")
	}
	for _, thread := range threads {
		if numbers, err = readCounters(thread); err != nil {
			return Counters{}, err
		}
		counters.Switches += numbers["voluntary_ctxt_switches"] + numbers["nonvoluntary_ctxt_switches"]
	}
	return counters, nil
}

// readCounters returns the numbers in a file with lines such as "name: 12".
func readCounters(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read kernel counters")
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
