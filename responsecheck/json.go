package responsecheck

import (
	"encoding/json"
	"io"
	"net/http"
	"unicode/utf8"
)

// DecodeJSON decodes the body of a response, which is one JSON text of at most maxBytes in UTF-8.
func DecodeJSON(response *http.Response, maxBytes int64, target any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > maxBytes {
		return ErrInvalid.New("the body exceeds %d bytes", maxBytes)
	}
	if !utf8.Valid(body) {
		return ErrInvalid.New("the body is not valid UTF-8")
	}
	return json.Unmarshal(body, target)
}
