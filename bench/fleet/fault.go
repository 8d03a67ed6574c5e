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

// Action is what a fault does to a part.
type Action string

// The actions.
const (
	// ActionKill kills the process; ActionStart starts it again.
	ActionKill  Action = "kill"
	ActionStart Action = "start"
	// ActionStop asks the process to stop as planned.
	ActionStop Action = "stop"
	// ActionFreeze and ActionThaw stop and continue the process.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionWipe kills the process and removes its data folder.
	ActionWipe Action = "wipe"
	// ActionLeaving marks an engine as leaving in the platform's list.
	ActionLeaving Action = "leaving"
)

// Fault is something done to a part of the fleet.
type Fault struct {
	// After is the time since the load began.
	After  time.Duration `yaml:"after"`
	Action Action        `yaml:"action"`
	Part   string        `yaml:"part"`
}

// faultFile is the form of a file of faults.
type faultFile struct {
	Faults []Fault `yaml:"faults"`
}

// LoadFaults reads and checks a file of faults.
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
			return nil, workload.ErrInvalid.New("%s: faults[%d].action: %q is unknown", path, position, fault.Action)
		}
	}
	sort.SliceStable(file.Faults, func(i, j int) bool { return file.Faults[i].After < file.Faults[j].After })
	return file.Faults, nil
}

func (f *Fleet) injectFaults(ctx context.Context) {
	began := time.Now()
	for _, fault := range f.config.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(fault.After - time.Since(began)):
		}
		f.say("%s: %s %s", fault.After, fault.Action, fault.Part)
		if err := f.inject(fault); err != nil {
			f.say("%s", err)
		}
	}
}

func (f *Fleet) inject(fault Fault) error {
	target := f.parts[fault.Part]
	if target == nil {
		return ErrStart.New("there is no part %q", fault.Part)
	}
	switch fault.Action {
	case ActionKill:
		target.expectRestart()
		target.kill()
	case ActionStop:
		target.expectRestart()
		target.terminate()
	case ActionStart:
		_, ended, _ := target.current()
		<-ended
		if err := f.rejoin(target); err != nil {
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

// rejoin makes a new folder, under a new identity, for a control replica that
// has lost its own.
func (f *Fleet) rejoin(target *part) error {
	if !slices.Contains(f.controlNames(), target.name) {
		return nil
	}
	if _, err := os.Stat(f.path(target.name + "-data")); err == nil {
		return nil
	}
	target.arguments = append(target.arguments, "--join", strings.Join(f.controls, ","))
	return f.runOnce(f.config.Product, "control", "join", "--config", f.path(target.name+".yaml"))
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
	return f.writeList()
}
