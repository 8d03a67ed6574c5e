package protocol_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/internal/golden"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// TestGoldenMessages decodes the messages and log records that replicas and nodes of earlier builds wrote.
func TestGoldenMessages(t *testing.T) {
	kinds := []golden.Kind{
		{Name: "Message", Zero: protocol.Message{}, IsUnion: true},
		{Name: "consensus-Message", Zero: consensus.Message{}},
		{Name: "consensus-Entry", Zero: consensus.Entry{}},
		{Name: "consensus-Snapshot", Zero: consensus.Snapshot{}},
		{Name: "consensus-HardState", Zero: consensus.HardState{}},
		{Name: "consensus-MembershipChange", Zero: consensus.MembershipChange{}},
		{Name: "state-Command", Zero: state.Command{}, IsUnion: true},
		{Name: "state-Result", Zero: state.Result{}, IsUnion: true},
	}
	for position := range kinds {
		kinds[position].Encode = func(value any) []byte {
			data, err := cbor.Marshal(value)
			if err != nil {
				panic(err)
			}
			return data
		}
		kinds[position].Decode = cbor.Unmarshal
	}
	golden.Check(t, kinds)
}
