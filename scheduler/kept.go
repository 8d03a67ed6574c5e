package scheduler

import (
	"github.com/dillchute/dillchute/ledger"
)

// keptSteps is how many later steps of a model a text is kept for.
const keptSteps = 2

// keptText is what a sample had produced when its step ended.
type keptText struct {
	text   Text
	number int
}

// keptTexts holds texts of samples that may come again in a later step, and the
// groups that earlier steps had.
type keptTexts struct {
	texts map[string]map[string]keptText
	// groups holds, for each model, the number of the last step with the group.
	groups map[string]map[string]int
}

func newKeptTexts() *keptTexts {
	return &keptTexts{texts: map[string]map[string]keptText{}, groups: map[string]map[string]int{}}
}

// keep remembers a text, unless one under newer versions, or a longer one under
// the same, is there already.
func (k *keptTexts) keep(step *ledger.Step, sample *ledger.Sample, text Text) {
	if text.Last == 0 {
		return
	}
	texts := k.texts[step.Model]
	if texts == nil {
		texts = map[string]keptText{}
		k.texts[step.Model] = texts
	}
	if known, ok := texts[sample.ID]; ok && (known.text.oldest() > text.oldest() ||
		known.text.oldest() == text.oldest() && known.text.Last > text.Last) {
		return
	}
	texts[sample.ID] = keptText{text: text, number: step.Number}
}

// take returns the text of a sample if all its versions are allowed by the step.
func (k *keptTexts) take(step *ledger.Step, sample *ledger.Sample) (Text, bool) {
	known, ok := k.texts[step.Model][sample.ID]
	if !ok || !fits(known.text, step) {
		return Text{}, false
	}
	return known.text, true
}

// length returns how many events a sample's text had in an earlier step, and
// whether that was all of it; 0 if nothing is known.
func (k *keptTexts) length(step *ledger.Step, sample *ledger.Sample) (events uint64, whole bool) {
	known := k.texts[step.Model][sample.ID].text
	return known.Last, known.Complete
}

// comingAgain returns the step's groups that an earlier step had, with the number
// of the last one. The trainer waits for such groups whichever others are whole.
func (k *keptTexts) comingAgain(step *ledger.Step) map[string]int {
	again := map[string]int{}
	for position := range step.Samples {
		group := step.Samples[position].Group
		if number, ok := k.groups[step.Model][group]; ok && number < step.Number {
			again[group] = number
		}
	}
	return again
}

// note takes in a step's groups, and forgets what is too old to come again.
func (k *keptTexts) note(step *ledger.Step) {
	groups := k.groups[step.Model]
	if groups == nil {
		groups = map[string]int{}
		k.groups[step.Model] = groups
	}
	for group, number := range groups {
		if number+keptSteps < step.Number {
			delete(groups, group)
		}
	}
	for id, known := range k.texts[step.Model] {
		if known.number+keptSteps < step.Number {
			delete(k.texts[step.Model], id)
		}
	}
	for position := range step.Samples {
		group := step.Samples[position].Group
		groups[group] = max(groups[group], step.Number)
	}
}
