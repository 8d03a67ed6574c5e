package server

import (
	"context"
	"time"
)

// every calls the function at each interval until the context ends. If a call takes longer than the
// interval, the next one follows immediately.
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
