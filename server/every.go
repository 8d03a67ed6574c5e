package server

import (
	"context"
	"time"
)

// every calls the function at each interval until the context ends. A call that lasts longer than
// the interval is followed by the next one at once.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
