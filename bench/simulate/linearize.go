package simulate

import (
	"github.com/anishathalye/porcupine"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/state"
)

// declarationCall is what an operator asked of control: a read, or a change on
// a base revision.
type declarationCall struct {
	isRead bool
	base   uint64
}

// declarationAnswer is what it was told.
type declarationAnswer struct {
	outcome  state.ApplyOutcome
	revision uint64
}

// declarationModel is a register that holds the newest declared revision and is
// changed by compare-and-swap. A change's new revision is any higher one, since
// other objects take numbers in between.
func declarationModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(current, input, output any) (bool, any) {
			declared, call, answer := current.(uint64), input.(declarationCall), output.(declarationAnswer)
			switch {
			case call.isRead || answer.outcome == state.ApplyUnchanged:
				return answer.revision == declared && (call.isRead || call.base == declared), declared
			case answer.outcome == state.ApplyAccepted:
				return call.base == declared && answer.revision > declared, answer.revision
			case answer.outcome == state.ApplyConflict:
				return call.base != declared && answer.revision == declared, declared
			}
			return false, declared
		},
	}
}

// judgeLinearizability checks that all calls of operators fit one order in
// which each took effect between being sent and being answered.
func judgeLinearizability(operations []porcupine.Operation, end int64) []oracle.Violation {
	if porcupine.CheckOperations(declarationModel(), operations) {
		return nil
	}
	return []oracle.Violation{{Promise: oracle.InForce, At: end, Detail: "the calls of operators fit no order"}}
}
