package directory

import (
	"fmt"
	"testing"

	"github.com/dillchute/dillchute/quarantine"
)

func manyBackends() []Backend {
	var backends []Backend
	for number := range 3000 {
		backends = append(backends, Backend{ID: fmt.Sprintf("i-%08x", number*7919), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), Zone: "sala-a", Slots: 6,
			Models: []ModelVersion{{Model: "m0", Version: 1}, {Model: "m1", Version: 1}, {Model: "m2", Version: 2}}})
	}
	return backends
}

// BenchmarkCatalogOfManyBackends applies the change of one of 3,000 backends to a catalog.
func BenchmarkCatalogOfManyBackends(b *testing.B) {
	backends := manyBackends()
	catalog := NewCatalog().With(Delta{Revision: 1, Full: true, Backends: backends})
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		catalog = catalog.With(Delta{Revision: uint64(number + 2), Backends: backends[number%3000 : number%3000+1]})
	}
}

// backendCounts are the fleet sizes to compare: the cost of a change must not grow with the number of
// unchanged backends.
var backendCounts = []int{100, 1000, 10000}

func newBackends(count int) []Backend {
	var backends []Backend
	for number := range count {
		backends = append(backends, Backend{
			ID: fmt.Sprintf("i-%08x", number*7919), Service: [...]string{"engines", "portal"}[number%5/4],
			Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), Zone: "sala-a", Slots: 6, Models: []ModelVersion{{Model: "m0", Version: 1}},
		})
	}
	return backends
}

// newMachineWith returns a machine with the backends registered.
func newMachineWith(b *testing.B, backends []Backend) *Machine {
	m := NewMachine()
	for _, backend := range backends {
		m.Apply(Command{PutBackend: &backend}.Encode())
	}
	return m
}

// BenchmarkRegister registers one more backend, which replaces another one at its address.
func BenchmarkRegister(b *testing.B) {
	for _, size := range backendCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			backends := newBackends(size)
			m := newMachineWith(b, backends)
			for number := 0; b.Loop(); number++ {
				backend := backends[number%size]
				backend.ID = fmt.Sprint("next-", number)
				m.Apply(Command{PutBackend: &backend}.Encode())
			}
		})
	}
}

// BenchmarkDeltaOfOneChange computes the delta of one change.
func BenchmarkDeltaOfOneChange(b *testing.B) {
	for _, size := range backendCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newMachineWith(b, newBackends(size))
			for b.Loop() {
				m.DeltaSince(m.Revision() - 1)
			}
		})
	}
}

// BenchmarkApplyOneChange applies one change to a catalog.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, size := range backendCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			backends := newBackends(size)
			catalog := NewCatalog().With(Delta{Revision: 1, Full: true, Backends: backends})
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				catalog = catalog.With(Delta{Revision: uint64(number + 2), Backends: backends[number%size : number%size+1]})
			}
		})
	}
}

// BenchmarkSuspectChange adds a suspect to a catalog that holds the maximum number of them.
func BenchmarkSuspectChange(b *testing.B) {
	delta := Delta{Revision: 1, Full: true}
	for number := range maxSuspects {
		delta.Suspects = append(delta.Suspects, quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint(fmt.Sprint(number)), Crashes: 1, Ended: []string{fmt.Sprint("b-", number/8)},
		})
	}
	catalog := NewCatalog().With(delta)
	change := Delta{Revision: 2, Suspects: []quarantine.Suspect{{Fingerprint: "new", Crashes: 1, Ended: []string{"b-new"}}}}
	for b.Loop() {
		catalog.With(change)
	}
}
