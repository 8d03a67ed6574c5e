package fleet

import (
	"github.com/dillchute/dillchute/bench/workload"
)

// Controls are control replicas alone, as processes, for benches that bring
// the rest themselves.
type Controls struct{ fleet *Fleet }

// StartControls starts a new group of replicas whose files lie in the folder.
// The platform is reached at the address.
func StartControls(folder, product, platform string, count int) (*Controls, error) {
	f := &Fleet{
		config:    Config{Folder: folder, Product: product, Workload: &workload.Workload{Name: "hollow", Controls: count}},
		parts:     map[string]*part{},
		addresses: map[string]string{},
	}
	if err := f.assignAddresses(); err != nil {
		return nil, err
	}
	f.addresses["platform"] = platform
	controls := &Controls{fleet: f}
	if err := f.startControls(); err != nil {
		controls.Stop()
		return nil, err
	}
	return controls, nil
}

// Addresses returns the replicas' addresses.
func (c *Controls) Addresses() []string { return c.fleet.controls }

// ProcessIDs returns the replicas' process numbers.
func (c *Controls) ProcessIDs() []int {
	var ids []int
	for _, name := range c.fleet.order {
		if command, _, _ := c.fleet.parts[name].current(); command != nil {
			ids = append(ids, command.Process.Pid)
		}
	}
	return ids
}

// Stop kills the replicas.
func (c *Controls) Stop() { c.fleet.kill() }
