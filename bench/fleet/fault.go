package fleet

import (
	"context"
	"os"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/dillchute/dillchute/bench/workload"
	"github.com/dillchute/dillchute/config"
)

// Action is the effect of a fault on a part.
type Action string

// The actions.
const (
	// ActionKill kills the process; ActionStart starts it again.
	ActionKill  Action = "kill"
	ActionStart Action = "start"
	// ActionStop requests a graceful shutdown.
	ActionStop Action = "stop"
	// ActionFreeze and ActionThaw suspend and resume the process.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionWipe kills the process and removes its data folder.
	ActionWipe Action = "wipe"
	// ActionLeaving marks an engine as leaving in the platform's engine list.
	ActionLeaving Action = "leaving"
)

// Fault is an action on a part of the fleet at a given time.
type Fault struct {
	// After is the time since the load started.
	After  time.Duration `yaml:"after"`
	Action Action        `yaml:"action"`
	Part   string        `yaml:"part"`
}

// faultFile is the format of a fault file.
type faultFile struct {
	Faults []Fault `yaml:"faults"`
}

// LoadFaults reads and checks a fault file and returns the faults ordered by time.
func LoadFaults(path string) ([]Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, workload.ErrInvalid.Wrap(err, "read faults")
	}
	var file faultFile
	if err := config.DecodeStrict(data, &file); err != nil {
		return nil, workload.ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	for position, fault := range file.Faults {
		switch fault.Action {
		case ActionKill, ActionStart, ActionStop, ActionFreeze, ActionThaw, ActionWipe, ActionLeaving:
		default:
			return nil, workload.ErrInvalid.New("%s: faults[%d].action: unknown action %q", path, position, fault.Action)
		}
	}
	sort.SliceStable(file.Faults, func(i, j int) bool { return file.Faults[i].After < file.Faults[j].After })
	return file.Faults, nil
}

func (f *Fleet) injectFaults(ctx context.Context) {
	startTime := time.Now()
	for _, fault := range f.config.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(fault.After - time.Since(startTime)):
		}
		f.logf("%s: %s %s", fault.After, fault.Action, fault.Part)
		if err := f.inject(fault); err != nil {
			f.logf("%s", err)
		}
	}
}

func (f *Fleet) inject(fault Fault) error {
	target := f.parts[fault.Part]
	if target == nil {
		return ErrStart.New("unknown part %q", fault.Part)
	}
	switch fault.Action {
	case ActionKill:
		target.expectRestart()
		target.kill()
	case ActionStop:
		target.expectRestart()
		target.terminate()
	case ActionStart:
		_, exited, _ := target.current()
		<-exited
		if err := f.prepareRejoin(target); err != nil {
			return err
		}
		return target.start()
	case ActionFreeze:
		target.signal(syscall.SIGSTOP)
	case ActionThaw:
		target.signal(syscall.SIGCONT)
	case ActionWipe:
		target.expectRestart()
		target.kill()
		return os.RemoveAll(f.path(fault.Part + "-data"))
	case ActionLeaving:
		return f.markLeaving(fault.Part)
	}
	return nil
}

// prepareRejoin creates a data folder with a new identity for a control replica whose folder was wiped.
func (f *Fleet) prepareRejoin(target *part) error {
	if !slices.Contains(f.controlNames(), target.name) {
		return nil
	}
	if _, err := os.Stat(f.path(target.name + "-data")); err == nil {
		return nil
	}
	target.arguments = append(target.arguments, "--join", strings.Join(f.controls, ","))
	return f.runProgram(f.config.Product, "control", "join", "--config", f.path(target.name+".yaml"))
}

func (f *Fleet) controlNames() []string {
	var names []string
	for number := range f.config.Workload.Controls {
		names = append(names, controlName(number))
	}
	return names
}

func (f *Fleet) markLeaving(name string) error {
	for position := range f.engines {
		if f.engines[position].ID == name {
			f.engines[position].Leaving = true
		}
	}
	return f.writeEngineList()
}
