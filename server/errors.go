package server

import (
	"errors"
	"net"
)

// isDialError reports whether a call failed to connect, so that the server cannot have received any of it.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
