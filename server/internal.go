package server

import (
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// readCBOR decodes the body of an internal call, or answers that it cannot.
func readCBOR(response http.ResponseWriter, request *http.Request, into any) bool {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxInternalBytes))
	if err == nil {
		err = cbor.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(response, "malformed call", http.StatusBadRequest)
	}
	return err == nil
}

func writeCBOR(response http.ResponseWriter, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("server: an answer must encode: " + err.Error())
	}
	response.Header().Set("Content-Type", "application/cbor")
	response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	response.Write(data)
}
