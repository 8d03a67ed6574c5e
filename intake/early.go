package intake

import (
	"io"
	"net/http"
	"time"
)

// earlyBytes bounds what is read after an early answer, so that closing does not discard the answer before its client has
// read it.
const earlyBytes = 64 << 20

// AnswerEarly answers a request whose body may not have been read, and closes the connection. It reads the rest of the body
// for a short time, since some clients read an answer only once they have sent everything.
func AnswerEarly(response http.ResponseWriter, request *http.Request, status int) {
	controller := http.NewResponseController(response)
	// It fails where the protocol is full-duplex anyway.
	_ = controller.EnableFullDuplex()
	response.Header().Set("Connection", "close")
	response.Header().Set("Content-Length", "0")
	response.WriteHeader(status)
	if controller.Flush() != nil {
		return
	}
	if timed, ok := request.Body.(*timedBody); ok {
		timed.deadline = time.Now().Add(lingerTimeout)
	}
	// The rest is not used, so an error in it means nothing.
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, earlyBytes))
}
