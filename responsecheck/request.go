package responsecheck

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// request follows how much of a request has been handed to a connection.
type request struct {
	// matched is how much of headEnd the bytes so far end with, until all of it has come.
	matched int
	// bodyLeft is how much of the body is missing, negative if the length is not known.
	bodyLeft int64
}

// add accounts for the next bytes of the request.
func (r *request) add(data []byte) {
	position := 0
	for ; position < len(data) && r.matched < len(headEnd); position++ {
		switch data[position] {
		case headEnd[r.matched]:
			r.matched++
		case headEnd[0]:
			r.matched = 1
		default:
			r.matched = 0
		}
	}
	if r.bodyLeft > 0 {
		r.bodyLeft = max(r.bodyLeft-int64(len(data)-position), 0)
	}
}

// isWhole reports whether the whole request has been handed over.
func (r *request) isWhole() bool { return r.matched == len(headEnd) && r.bodyLeft == 0 }
