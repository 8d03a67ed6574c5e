package server

import (
	"io"
	"net/http"
	"strconv"

	"github.com/dillchute/dillchute/internal/pack"
)

// readCBOR decodes the body of an internal call into target. If that fails, it
// writes an error response and returns false.
func readCBOR(response http.ResponseWriter, request *http.Request, target any) bool {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxInternalBytes))
	if err == nil {
		err = decodeInternal(body, target)
	}
	if err != nil {
		http.Error(response, "malformed call", http.StatusBadRequest)
	}
	return err == nil
}

// encodeInternal encodes a call or a response between processes of the service.
func encodeInternal(value any) []byte { return pack.Encode(value) }

// decodeInternal decodes data from encodeInternal into target.
func decodeInternal(data []byte, target any) error {
	return pack.Decode(data, maxInternalBytes, target)
}

func writeCBOR(response http.ResponseWriter, value any) {
	data := encodeInternal(value)
	response.Header().Set("Content-Type", "application/cbor")
	response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	response.Write(data)
}
