package site

import (
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Process is a process that the site started.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// startProcess starts a program whose output is appended to a log file.
func startProcess(logPath, binary string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, ErrStart.Wrap(err, "open log")
	}
	command := exec.Command(binary, arguments...)
	command.Stdout = log
	command.Stderr = log
	// The processes end with the program that started them.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, ErrStart.Wrap(err, "start %s", binary)
	}
	p := &Process{command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to drain and exit.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Pause suspends the process until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

// Wait waits until the process has ended and kills it after the timeout. It reports
// whether the process ended within the timeout and without an error.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// signal sends a signal to this process only. A process that has ended already
// ignores it.
func (p *Process) signal(s os.Signal) {
	_ = p.command.Process.Signal(s)
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }
