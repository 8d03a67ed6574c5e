package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// benchBackends is the number of backends of one service.
const benchBackends = 1000

// BenchmarkChoose takes a backend of many beside so many suspects, for a request that is none
// ("sound") and for one that is ("suspect").
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
		for name, suspect := range map[string]bool{"sound": false, "suspect": true} {
			b.Run(fmt.Sprintf("%s-%d", name, suspects), func(b *testing.B) {
				judged := &clearance{guard: guard}
				if suspect {
					judged.verdict.KnownCrashes = 1
				}
				for b.Loop() {
					backend, ok := forwarder.pick(judged, catalog, []string{"s"}, map[string]bool{})
					if !ok {
						b.Fatal("there must be a backend")
					}
					forwarder.note(backend, Attempt{Outcome: Answered}, time.Millisecond, false)
					if suspect {
						forwarder.endSuspect(backend.ID)
					}
				}
			})
		}
	}
}
