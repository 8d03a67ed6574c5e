package fleet

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// part is a process of the fleet. It can be restarted.
type part struct {
	name      string
	program   string
	arguments []string
	logPath   string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	err     error
	// restarting is set while a fault keeps the part down.
	restarting bool
}

// startPart starts a process and registers it under its name.
func (f *Fleet) startPart(name, program string, arguments ...string) error {
	process := &part{name: name, program: program, arguments: arguments, logPath: f.path(name + ".log")}
	f.parts[name] = process
	f.order = append(f.order, name)
	return process.start()
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
	// The kernel kills the process if the fleet runner dies.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return ErrStart.Wrap(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.restarting = command, exited, false
	go func() {
		err := command.Wait()
		p.mutex.Lock()
		p.err = err
		p.mutex.Unlock()
		close(exited)
	}()
	return nil
}

func (p *part) current() (*exec.Cmd, chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command, p.exited, p.restarting
}

func (p *part) running() bool {
	_, exited, _ := p.current()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

func (p *part) signal(signal os.Signal) {
	if command, _, _ := p.current(); command != nil && p.running() {
		// The process may exit in between, which makes the error irrelevant.
		_ = command.Process.Signal(signal)
	}
}

func (p *part) terminate() { p.signal(syscall.SIGTERM) }

func (p *part) kill() {
	p.signal(syscall.SIGKILL)
	if _, exited, _ := p.current(); exited != nil {
		<-exited
	}
}

// expectRestart makes wait ignore exits until the process is started again.
func (p *part) expectRestart() {
	p.mutex.Lock()
	p.restarting = true
	p.mutex.Unlock()
}

// wait waits until the process has exited and no restart is expected.
func (p *part) wait(ctx context.Context) error {
	for {
		_, exited, _ := p.current()
		select {
		case <-exited:
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mutex.Lock()
		restarting, err, restarted := p.restarting, p.err, p.exited != exited
		p.mutex.Unlock()
		if !restarting && !restarted {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
	}
}

// runProgram runs a program until it exits.
func (f *Fleet) runProgram(program string, arguments ...string) error {
	var output bytes.Buffer
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = &output, &output
	if err := command.Run(); err != nil {
		return ErrStart.Wrap(err, "%s %v: %s", program, arguments, output.String())
	}
	return nil
}
