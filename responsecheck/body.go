package responsecheck

import (
	"errors"
	"io"
	"net/http"
)

// FramedBody returns the body of a response. Its reader gets io.ErrUnexpectedEOF in the place of io.EOF if the body ends with
// the connection: nothing tells such a body from one that was cut.
func FramedBody(response *http.Response) io.ReadCloser {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return response.Body
	}
	return unframedBody{response.Body}
}

// unframedBody is a body that ends with its connection.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unframedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}
