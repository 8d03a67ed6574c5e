package server

import (
	"net/http"
	"strconv"

	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/pack"
)

// readCBOR decodes the body of an internal call into target, and returns the reservation of its memory, which the caller
// must release.
func readCBOR(limits *intake.Intake, request *http.Request, target any) (*intake.Reservation, error) {
	body, err := limits.ReadRequest(request, maxInternalBytes, intake.NoTimeout)
	if err != nil {
		return nil, err
	}
	defer body.Release()
	return pack.DecodeWithin(limits.Memory, body.Bytes, maxInternalBytes, target)
}

// refuseCall answers a call that readCBOR could not read.
func refuseCall(response http.ResponseWriter, request *http.Request, err error) {
	status := http.StatusBadRequest
	if intake.IsRefusal(err) {
		status = http.StatusServiceUnavailable
	}
	intake.AnswerEarly(response, request, status)
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
