package server

import "github.com/dillchute/dillchute/clock"

// nowMillis returns the time of package clock in milliseconds since 1970. It counts suspensions of the
// machine and ignores wall clock steps since the start of the process.
func nowMillis() int64 { return clock.Now().UnixMilli() }
