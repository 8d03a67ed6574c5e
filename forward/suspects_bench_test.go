package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// benchBackends is the number of backends of the service.
const benchBackends = 1000

// BenchmarkChoose measures the choice of a backend for a normal request and for a suspect,
// depending on the number of suspects.
func BenchmarkChoose(b *testing.B) {
	for _, suspects := range []int{0, 100, 4096} {
		delta := directory.Delta{Revision: 1, Full: true}
		for number := range benchBackends {
			delta.Backends = append(delta.Backends, directory.Backend{ID: fmt.Sprint("b-", number), Service: "s", Zone: "z", Slots: 8})
		}
		for number := range suspects {
			fingerprint := quarantine.Fingerprint(fmt.Sprint("suspect-", number))
			delta.Suspects = append(delta.Suspects, quarantine.Suspect{Fingerprint: fingerprint, Crashes: 1, Ended: []string{fmt.Sprint("b-", number%10)}})
		}
		catalog := directory.NewCatalog().With(delta)
		guard := quarantine.NewGuard(quarantine.SharedRecord{
			Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return catalog.Suspects },
		}, time.Now)
		forwarder := New(nil, "z", guard)
		for name, isSuspect := range map[string]bool{"normal": false, "suspect": true} {
			b.Run(fmt.Sprintf("%s-%d", name, suspects), func(b *testing.B) {
				check := &quarantineCheck{guard: guard}
				if isSuspect {
					check.verdict.KnownCrashes = 1
				}
				for b.Loop() {
					backend, ok := forwarder.chooseForAttempt(check, catalog, []string{"s"}, map[string]bool{})
					if !ok {
						b.Fatal("no backend chosen")
					}
					forwarder.recordAttempt(backend, Attempt{Outcome: Answered}, time.Millisecond, false)
					if isSuspect {
						forwarder.releaseSuspect(backend.ID)
					}
				}
			})
		}
	}
}
