package server

import (
	"io"
	"net/http"
	"strconv"

	"github.com/dillchute/dillchute/internal/pack"
)

// readCBOR decodes the body of an internal call, or answers that it cannot.
func readCBOR(response http.ResponseWriter, request *http.Request, into any) bool {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxInternalBytes))
	if err == nil {
		err = decodeInternal(body, into)
	}
	if err != nil {
		http.Error(response, "malformed call", http.StatusBadRequest)
	}
	return err == nil
}

// encodeInternal returns a call or an answer between own processes as bytes.
func encodeInternal(value any) []byte { return pack.Encode(value) }

// decodeInternal reads what encodeInternal returned.
func decodeInternal(data []byte, into any) error { return pack.Decode(data, maxInternalBytes, into) }

func writeCBOR(response http.ResponseWriter, value any) {
	data := encodeInternal(value)
	response.Header().Set("Content-Type", "application/cbor")
	response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	response.Write(data)
}
