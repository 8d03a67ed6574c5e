package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// benchBodySize is the size of a typical request body.
const benchBodySize = 700

// BenchmarkCheckContent checks a harmless request with the given number of suspects.
func BenchmarkCheckContent(b *testing.B) {
	for _, suspects := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
			for number := range suspects {
				fingerprint := Fingerprint(fmt.Sprint("suspect-", number))
				shared.suspects[fingerprint] = Suspect{Fingerprint: fingerprint, Crashes: 1, Ended: []string{"b"}}
			}
			guard := newTestGuard(shared, clock)
			content := Content{Method: "POST", Host: "example.test", Target: "/lookups/7", Body: make([]byte, benchBodySize)}
			b.ReportAllocs()
			for b.Loop() {
				guard.CheckContent(content)
			}
		})
	}
}
