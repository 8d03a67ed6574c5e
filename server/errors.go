package server

import (
	"errors"
	"net"
)

// isDialError tells whether a call failed before a connection was there, so
// that the other side cannot have received any of it.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
