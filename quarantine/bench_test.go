package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// benchBody is as long as the usual request's body.
const benchBody = 700

// BenchmarkJudge judges a request under which nothing has ended, beside so many suspects.
func BenchmarkJudge(b *testing.B) {
	for _, suspects := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprint(suspects), func(b *testing.B) {
			shared, c := newRecord(), &clock{at: time.Now()}
			for number := range suspects {
				fingerprint := Fingerprint(fmt.Sprint("suspect-", number))
				shared.suspects[fingerprint] = Suspect{Fingerprint: fingerprint, Crashes: 1, Ended: []string{"b"}}
			}
			guard := guardOf(shared, c)
			content := Content{Method: "POST", Host: "example.test", Target: "/lookups/7", Body: make([]byte, benchBody)}
			b.ReportAllocs()
			for b.Loop() {
				guard.JudgeContent(content)
			}
		})
	}
}
