package directory

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// Versions of what commands mean. All replicas of a group apply a command in the same way only if
// each of them knows its meaning, so a meaning that has come later is used from the version on that
// is recorded in the state, which the leader raises once all members have said that they know it.
const (
	// ReturnVersion is the version from which on it is recorded which backends were taken out only
	// because nobody heard them, so that they may come back.
	ReturnVersion uint64 = 1
	// CrashReportVersion is the version from which on an end that is told more than once counts by whoever
	// knew most, see quarantine.Crash.
	CrashReportVersion uint64 = 2
	// KnownVersion is the newest version that this build knows.
	KnownVersion = CrashReportVersion
)

// ErrUnknownVersion: the state is of a later build, whose commands this one would misread.
var ErrUnknownVersion = errorx.NewNamespace("directory").NewType("later_version")

// RaiseVersion has the meanings of a version used. A version is never lowered.
type RaiseVersion struct {
	Version uint64 `cbor:"1,keyasint"`
	// Silenced are the IDs of backends that the leader has taken out before, only because nobody
	// heard them.
	Silenced []string `cbor:"2,keyasint,omitempty"`
}

// VersionInUse returns the version whose meanings are used, 0 where none was ever raised.
func (m *Machine) VersionInUse() uint64 { return m.state.InUse }

// Err returns an ErrUnknownVersion error if the log has raised a version that this build does not
// know. Nothing is applied any more then.
func (m *Machine) Err() error {
	if m.state.InUse <= KnownVersion {
		return nil
	}
	return ErrUnknownVersion.New("the directory is in use with version %d of its commands; this build knows %d", m.state.InUse, KnownVersion)
}

func (m *Machine) raiseVersion(command RaiseVersion) {
	if command.Version <= m.state.InUse {
		return
	}
	m.state.InUse = command.Version
	for _, id := range command.Silenced {
		if incarnation := IncarnationFromID(id); m.isNewestRemoved(incarnation) {
			m.state.Silenced[incarnation.Name] = incarnation.StartTime
		}
	}
}

// isNewestGone tells whether the incarnation is the newest of its name that has left.
func (m *Machine) isNewestRemoved(incarnation Incarnation) bool {
	_, isRegistered := m.byName[incarnation.Name]
	return !isRegistered && m.IsRemoved(incarnation) && m.state.GoneBorn[incarnation.Name] == incarnation.StartTime
}

// IncarnationFromID returns the incarnation that has the ID.
func IncarnationFromID(id string) Incarnation {
	name, startText, found := strings.Cut(id, startTimeSeparator)
	if !found {
		return Incarnation{Name: id}
	}
	startTime, err := strconv.ParseInt(startText, 10, 64)
	if err != nil {
		return Incarnation{Name: id}
	}
	return Incarnation{Name: name, StartTime: startTime}
}

// MayReturn tells whether the incarnation was taken out only because nobody heard it, and has not
// left since.
func (m *Machine) MayReturn(incarnation Incarnation) bool {
	startTime, isSilent := m.state.Silenced[incarnation.Name]
	return isSilent && startTime == incarnation.StartTime
}

// noteSilenced remembers that a backend which was taken out may come back. One that drained was
// about to leave, and stays out.
func (m *Machine) recordSilentRemoval(backend Backend) {
	if m.state.InUse >= ReturnVersion && !backend.Draining {
		m.state.Silenced[backend.NameOrID()] = backend.Born
	}
}

// forgetSilenced has what was silenced under the name stay out, if it was born by then.
func (m *Machine) forgetSilentRemoval(incarnation Incarnation) {
	if startTime, isSilent := m.state.Silenced[incarnation.Name]; isSilent && startTime <= incarnation.StartTime {
		delete(m.state.Silenced, incarnation.Name)
	}
}

// returnBackend registers a backend again that was only not heard.
func (m *Machine) returnBackend(backend Backend) {
	incarnation := backend.Incarnation()
	if !m.MayReturn(incarnation) {
		return
	}
	m.removals().forget(incarnation.Name)
	m.putBackend(backend)
}
