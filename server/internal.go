package server

import (
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

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
func encodeInternal(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("server: an internal message must encode: " + err.Error())
	}
	return pack.Pack(data)
}

// decodeInternal reads what encodeInternal returned.
func decodeInternal(data []byte, into any) error {
	unpacked, err := pack.Unpack(data, maxInternalBytes)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(unpacked, into)
}

func writeCBOR(response http.ResponseWriter, value any) {
	data := encodeInternal(value)
	response.Header().Set("Content-Type", "application/cbor")
	response.Header().Set("Content-Length", strconv.Itoa(len(data)))
	response.Write(data)
}
