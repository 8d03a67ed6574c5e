package server

import "github.com/dillchute/dillchute/clock"

// nowMillis returns the time that decisions are made by, in milliseconds since 1970 as it was
// at the start of the process: a step of the time of day does not move it, and suspensions of
// the machine count.
func nowMillis() int64 { return clock.Now().UnixMilli() }
