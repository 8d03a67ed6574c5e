package fleet

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// part is one process of the fleet. It may be started again after it has ended.
type part struct {
	name      string
	program   string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	err     error
	// restarting is set while a fault keeps the part down on purpose.
	restarting bool
}

// startPart starts a process and keeps it by its name.
func (f *Fleet) startPart(name, program string, arguments ...string) error {
	started := &part{name: name, program: program, arguments: arguments, logPath: f.path(name + ".log")}
	f.parts[name] = started
	f.order = append(f.order, name)
	return started.start()
}

func (p *part) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return ErrStart.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.program, p.arguments...)
	command.Stdout, command.Stderr = log, log
	// A fleet that is killed itself takes its processes along.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return ErrStart.Wrap(err, "start %s", p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.restarting = command, ended, false
	go func() {
		err := command.Wait()
		p.mutex.Lock()
		p.err = err
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

func (p *part) current() (*exec.Cmd, chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command, p.ended, p.restarting
}

func (p *part) running() bool {
	_, ended, _ := p.current()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (p *part) signal(signal os.Signal) {
	if command, _, _ := p.current(); command != nil && p.running() {
		// The process may end in between; then there is nothing to signal.
		_ = command.Process.Signal(signal)
	}
}

func (p *part) terminate() { p.signal(syscall.SIGTERM) }

func (p *part) kill() {
	p.signal(syscall.SIGKILL)
	if _, ended, _ := p.current(); ended != nil {
		<-ended
	}
}

// expectRestart makes wait go on over the end of the process.
func (p *part) expectRestart() {
	p.mutex.Lock()
	p.restarting = true
	p.mutex.Unlock()
}

// wait waits until the process has ended for good.
func (p *part) wait(ctx context.Context) error {
	for {
		_, ended, _ := p.current()
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mutex.Lock()
		restarting, err, again := p.restarting, p.err, p.ended != ended
		p.mutex.Unlock()
		if !restarting && !again {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
	}
}

// runOnce runs a program to its end.
func (f *Fleet) runOnce(program string, arguments ...string) error {
	var output bytes.Buffer
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = &output, &output
	if err := command.Run(); err != nil {
		return ErrStart.Wrap(err, "%s %v: %s", program, arguments, output.String())
	}
	return nil
}
