package simulate

import (
	"github.com/anishathalye/porcupine"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/state"
)

// declarationCall is an operator's call: a read, or a change to a base revision.
type declarationCall struct {
	isRead bool
	base   uint64
}

// declarationResult is the reply to a declarationCall.
type declarationResult struct {
	outcome  state.ApplyOutcome
	revision uint64
}

// declarationModel models the declared revision as a register that is changed by compare-and-swap.
// A change may set any higher revision, since other objects share the same numbering.
func declarationModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(current, input, output any) (bool, any) {
			declared, call, result := current.(uint64), input.(declarationCall), output.(declarationResult)
			switch {
			case call.isRead || result.outcome == state.ApplyUnchanged:
				return result.revision == declared && (call.isRead || call.base == declared), declared
			case result.outcome == state.ApplyAccepted:
				return call.base == declared && result.revision > declared, result.revision
			case result.outcome == state.ApplyConflict:
				return call.base != declared && result.revision == declared, declared
			}
			return false, declared
		},
	}
}

// checkLinearizability returns a violation if the operators' calls are not linearizable.
func checkLinearizability(operations []porcupine.Operation, end int64) []oracle.Violation {
	if porcupine.CheckOperations(declarationModel(), operations) {
		return nil
	}
	return []oracle.Violation{{Promise: oracle.ConfigurationInForce, At: end, Detail: "the operators' calls are not linearizable"}}
}
