package forward

// Load is the load that a backend reports with a response, as of the time of writing it.
type Load struct {
	// Running and Waiting count the requests at the backend. Slots is the number that it runs at a
	// time.
	Running, Waiting, Slots int
	// Slowdown is the current duration of work at the backend, in percent of the normal one; 0 if not
	// reported.
	Slowdown int
}
