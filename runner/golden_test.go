package runner

import (
	"bytes"
	"testing"

	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/golden"
)

// TestGoldenMessages decodes the framed messages that earlier builds wrote.
func TestGoldenMessages(t *testing.T) {
	kinds := []golden.Kind{
		{Name: "start", Zero: start{}},
		{Name: "commands", Zero: commands{}},
		{Name: "report", Zero: report{}},
	}
	for i := range kinds {
		kinds[i].Encode = func(value any) []byte {
			var frame bytes.Buffer
			// Writes to a buffer do not fail.
			_ = writeMessage(&frame, value)
			return frame.Bytes()[frameHeaderBytes:]
		}
		kinds[i].Decode = func(data []byte, into any) error {
			return readMessage(intake.Unlimited(), bytes.NewReader(append(encodeFrameLength(len(data)), data...)), into)
		}
	}
	golden.Check(t, kinds)
}

// frameHeaderBytes is the size of the length prefix of a frame.
const frameHeaderBytes = 4

func encodeFrameLength(length int) []byte {
	return []byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
}
