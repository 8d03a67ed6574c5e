package directory

import (
	"github.com/dillchute/dillchute/quarantine"
)

// maxSuspects limits the number of suspects, at a few hundred bytes each. It is several times the
// number of requests in flight on backends that may crash at a time.
const maxSuspects = 4096

// Suspect returns the suspect with the fingerprint, the revision of its last change, and whether it
// exists.
func (m *Machine) Suspect(fingerprint quarantine.Fingerprint) (quarantine.Suspect, uint64, bool) {
	stored := m.state.Suspects[fingerprint]
	if stored == nil {
		return quarantine.Suspect{}, 0, false
	}
	return stored.Object, stored.Revision, true
}

// Suspects calls each with every suspect and the revision of its last change.
func (m *Machine) Suspects(each func(suspect quarantine.Suspect, revision uint64)) {
	for _, stored := range m.state.Suspects {
		each(stored.Object, stored.Revision)
	}
}

// applySuspects applies the parts of a command that concern suspects, except TakeTrial.
func (m *Machine) applySuspects(command Command) {
	for _, crash := range command.Crashes {
		suspect, _, _ := m.Suspect(crash.Fingerprint)
		if next, isChanged := suspect.WithCrash(crash); isChanged {
			m.putSuspect(next)
		}
	}
	for _, fingerprint := range command.Answered {
		m.removeSuspect(fingerprint)
	}
	if offer := command.OfferTrial; offer != nil {
		if suspect, revision, ok := m.Suspect(offer.Fingerprint); ok && revision == offer.Revision {
			m.putSuspect(suspect.WithTrialOffered())
		}
	}
	if forget := command.ForgetSuspect; forget != nil {
		if _, revision, ok := m.Suspect(forget.Fingerprint); ok && revision == forget.Revision {
			m.removeSuspect(forget.Fingerprint)
		}
	}
}

// takeTrial takes the offered trial of a request, and reports whether there was one.
func (m *Machine) takeTrial(fingerprint quarantine.Fingerprint) bool {
	suspect, _, ok := m.Suspect(fingerprint)
	if !ok || !suspect.Offered {
		return false
	}
	m.putSuspect(suspect.WithTrialTaken())
	return true
}

func (m *Machine) putSuspect(suspect quarantine.Suspect) {
	if m.state.Suspects[suspect.Fingerprint] == nil && len(m.state.Suspects) >= maxSuspects {
		m.removeSuspect(m.suspectToEvict())
	}
	m.state.Suspects[suspect.Fingerprint] = &versioned[quarantine.Suspect]{Revision: m.nextUrgentRevision(), Object: suspect}
}

// suspectToEvict returns the suspect to evict: one that is not quarantined if there is any, and among
// these the one that was changed first. Revisions are unique, so every replica evicts the same one.
func (m *Machine) suspectToEvict() quarantine.Fingerprint {
	var candidate *versioned[quarantine.Suspect]
	for _, stored := range m.state.Suspects {
		if candidate == nil || isEvictedBefore(stored, candidate) {
			candidate = stored
		}
	}
	return candidate.Object.Fingerprint
}

func isEvictedBefore(a, b *versioned[quarantine.Suspect]) bool {
	if a.Object.IsQuarantined() != b.Object.IsQuarantined() {
		return b.Object.IsQuarantined()
	}
	return a.Revision < b.Revision
}

func (m *Machine) removeSuspect(fingerprint quarantine.Fingerprint) {
	if m.state.Suspects[fingerprint] == nil {
		return
	}
	delete(m.state.Suspects, fingerprint)
	m.addTombstone(KindSuspect, string(fingerprint))
}
