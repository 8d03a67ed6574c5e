package server

import (
	"testing"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/internal/golden"
)

// TestGoldenMessages decodes the calls and answers of earlier builds.
func TestGoldenMessages(t *testing.T) {
	kinds := []golden.Kind{
		{Name: "directoryCall", Zero: directoryCall{}, IsUnion: true},
		{Name: "directoryAnswer", Zero: directoryAnswer{}},
		{Name: "ledgerCall", Zero: ledgerCall{}, IsUnion: true},
		{Name: "ledgerAnswer", Zero: ledgerAnswer{}},
		{Name: "Heartbeat", Zero: Heartbeat{}},
		{Name: "Delta", Zero: directory.Delta{}},
	}
	for position := range kinds {
		kinds[position].Encode, kinds[position].Decode = encodeInternal, decodeInternal
	}
	golden.Check(t, kinds)
}
