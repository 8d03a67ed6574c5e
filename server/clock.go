package server

import "time"

// processStart is the origin of the time that decisions are made by.
var processStart = time.Now()

// nowMillis returns the time in milliseconds since 1970 as it was at the start of
// the process, counted on by the steady clock: a step of the time of day does not
// move it.
func nowMillis() int64 {
	return processStart.UnixMilli() + time.Since(processStart).Milliseconds()
}
