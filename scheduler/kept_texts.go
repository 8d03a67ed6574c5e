package scheduler

import (
	"github.com/dillchute/dillchute/ledger"
)

// keptTextSteps is the number of later steps of a model for which a text is kept.
const keptTextSteps = 2

// keptText is the text of a sample when its step ended.
type keptText struct {
	text       Text
	stepNumber int
}

// keptTexts holds the texts of samples that a later step may resubmit, and the groups of earlier
// steps.
type keptTexts struct {
	texts map[string]map[string]keptText
	// groups holds, for each model, the number of the latest step with the group.
	groups map[string]map[string]int
}

func newKeptTexts() *keptTexts {
	return &keptTexts{texts: map[string]map[string]keptText{}, groups: map[string]map[string]int{}}
}

// keep stores the text, unless the stored one has newer versions or is longer under the same
// versions.
func (k *keptTexts) keep(step *ledger.Step, sample *ledger.Sample, text Text) {
	if text.Last == 0 {
		return
	}
	texts := k.texts[step.Model]
	if texts == nil {
		texts = map[string]keptText{}
		k.texts[step.Model] = texts
	}
	if earlier, ok := texts[sample.ID]; ok && (earlier.text.oldest() > text.oldest() ||
		earlier.text.oldest() == text.oldest() && earlier.text.Last > text.Last) {
		return
	}
	texts[sample.ID] = keptText{text: text, stepNumber: step.Number}
}

// usableText returns the sample's text if the step allows all its versions.
func (k *keptTexts) usableText(step *ledger.Step, sample *ledger.Sample) (Text, bool) {
	earlier, ok := k.texts[step.Model][sample.ID]
	if !ok || !versionsAllowed(earlier.text, step) {
		return Text{}, false
	}
	return earlier.text, true
}

// knownLength returns how many events the sample's text had in an earlier step and whether it was
// complete.
func (k *keptTexts) knownLength(step *ledger.Step, sample *ledger.Sample) (events uint64, complete bool) {
	earlier := k.texts[step.Model][sample.ID].text
	return earlier.Last, earlier.Complete
}

// resubmittedGroups returns the step's groups that an earlier step also had, with the number of the
// latest such step. The trainer always waits for these groups.
func (k *keptTexts) resubmittedGroups(step *ledger.Step) map[string]int {
	groups := map[string]int{}
	for position := range step.Samples {
		group := step.Samples[position].Group
		if stepNumber, ok := k.groups[step.Model][group]; ok && stepNumber < step.Number {
			groups[group] = stepNumber
		}
	}
	return groups
}

// recordGroups records the step's groups and drops groups and texts that are too old to be
// resubmitted.
func (k *keptTexts) recordGroups(step *ledger.Step) {
	groups := k.groups[step.Model]
	if groups == nil {
		groups = map[string]int{}
		k.groups[step.Model] = groups
	}
	for group, stepNumber := range groups {
		if stepNumber+keptTextSteps < step.Number {
			delete(groups, group)
		}
	}
	for id, kept := range k.texts[step.Model] {
		if kept.stepNumber+keptTextSteps < step.Number {
			delete(k.texts[step.Model], id)
		}
	}
	for position := range step.Samples {
		group := step.Samples[position].Group
		groups[group] = max(groups[group], step.Number)
	}
}
