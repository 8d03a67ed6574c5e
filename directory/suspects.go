package directory

import (
	"github.com/dillchute/dillchute/quarantine"
)

// maxSuspects bounds the suspects that are kept: some hundred bytes each, several times as many
// as there are requests under way at the backends that end on a bad day.
const maxSuspects = 4096

// Suspect returns what is known of a request, with the revision of its last change, and whether
// anything is.
func (m *Machine) Suspect(fingerprint quarantine.Fingerprint) (quarantine.Suspect, uint64, bool) {
	known := m.state.Suspects[fingerprint]
	if known == nil {
		return quarantine.Suspect{}, 0, false
	}
	return known.Object, known.Revision, true
}

// Suspects calls the function with each suspect and the revision of its last change.
func (m *Machine) Suspects(each func(suspect quarantine.Suspect, revision uint64)) {
	for _, known := range m.state.Suspects {
		each(known.Object, known.Revision)
	}
}

// applySuspects carries out what a command says of suspects.
func (m *Machine) applySuspects(command Command) {
	for _, crash := range command.Crashes {
		known, _, _ := m.Suspect(crash.Fingerprint)
		if next, news := known.WithCrash(crash); news {
			m.putSuspect(next)
		}
	}
	for _, fingerprint := range command.Answered {
		m.removeSuspect(fingerprint)
	}
	if offer := command.OfferTrial; offer != nil {
		if known, revision, ok := m.Suspect(offer.Fingerprint); ok && revision == offer.Revision {
			m.putSuspect(known.WithTrialOffered())
		}
	}
	if forget := command.ForgetSuspect; forget != nil {
		if _, revision, ok := m.Suspect(forget.Fingerprint); ok && revision == forget.Revision {
			m.removeSuspect(forget.Fingerprint)
		}
	}
}

// takeTrial gives the trial of a request to whoever asks first.
func (m *Machine) takeTrial(fingerprint quarantine.Fingerprint) bool {
	known, _, ok := m.Suspect(fingerprint)
	if !ok || !known.Offered {
		return false
	}
	m.putSuspect(known.WithTrialTaken())
	return true
}

func (m *Machine) putSuspect(suspect quarantine.Suspect) {
	if m.state.Suspects[suspect.Fingerprint] == nil && len(m.state.Suspects) >= maxSuspects {
		m.removeSuspect(m.leastSuspect())
	}
	m.state.Suspects[suspect.Fingerprint] = &versioned[quarantine.Suspect]{Revision: m.next(), Object: suspect}
}

// leastSuspect returns the suspect to be given up for another: one that is not held back goes
// first, and among alike the one that changed longest ago. Revisions differ, so each replica
// chooses the same.
func (m *Machine) leastSuspect() quarantine.Fingerprint {
	var least *versioned[quarantine.Suspect]
	for _, known := range m.state.Suspects {
		if least == nil || goesBefore(known, least) {
			least = known
		}
	}
	return least.Object.Fingerprint
}

func goesBefore(one, other *versioned[quarantine.Suspect]) bool {
	if one.Object.IsQuarantined() != other.Object.IsQuarantined() {
		return other.Object.IsQuarantined()
	}
	return one.Revision < other.Revision
}

func (m *Machine) removeSuspect(fingerprint quarantine.Fingerprint) {
	if m.state.Suspects[fingerprint] == nil {
		return
	}
	delete(m.state.Suspects, fingerprint)
	m.bury(KindSuspect, string(fingerprint))
}
