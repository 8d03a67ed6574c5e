package duty

import (
	"sync"
	"time"
)

// Pacer spaces the calls of all duties of a process to limit their common rate. It is safe for
// concurrent use.
type Pacer struct {
	mutex     sync.Mutex
	nextStart int64
}

// Reserve reserves the next start of a call, at least the gap before the following one, and returns how
// long to wait for it. Now is the process's monotonic time in milliseconds.
func (p *Pacer) Reserve(now int64, gap time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	start := max(now, p.nextStart)
	p.nextStart = start + int64((gap+time.Millisecond-1)/time.Millisecond)
	return time.Duration(start-now) * time.Millisecond
}
