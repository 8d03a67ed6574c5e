package directory

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

// Versions that determine how commands are applied. The state records the version in use. The leader raises
// it only once all members of the group have reported that they support the new version, so that replicas
// of different builds apply each command in the same way.
const (
	// ReturnVersion is the first version that records which backends were removed because they were
	// silent, so that they may return.
	ReturnVersion uint64 = 1
	// CrashReportVersion is the first version with quarantine.Crash.Exact.
	CrashReportVersion uint64 = 2
	// DepartureVersion is the first version in which a departure covers all incarnations that had started,
	// whichever of them is registered.
	DepartureVersion uint64 = 3
	// KnownVersion is the newest version that this build supports.
	KnownVersion = DepartureVersion
)

// ErrUnknownVersion is returned if the state uses a version that this build does not support.
var ErrUnknownVersion = errorx.NewNamespace("directory").NewType("later_version")

// RaiseVersion raises the version in use. It is never lowered.
type RaiseVersion struct {
	Version uint64 `cbor:"1,keyasint"`
	// Silenced are the IDs of silent backends that the leader removed before this command. They may
	// return.
	Silenced []string `cbor:"2,keyasint,omitempty"`
}

// VersionInUse returns the version of the commands in use, 0 if it was never raised.
func (m *Machine) VersionInUse() uint64 { return m.state.InUse }

// Err returns an ErrUnknownVersion error if this build does not support the version in use. In
// that case Apply ignores all commands.
func (m *Machine) Err() error {
	if m.state.InUse <= KnownVersion {
		return nil
	}
	return ErrUnknownVersion.New("the directory uses command version %d, but this build supports only versions up to %d", m.state.InUse, KnownVersion)
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

// isNewestRemoved reports whether the incarnation is the newest of its name, and removed.
func (m *Machine) isNewestRemoved(incarnation Incarnation) bool {
	_, isRegistered := m.byName[incarnation.Name]
	return !isRegistered && m.IsRemoved(incarnation) && m.state.GoneBorn[incarnation.Name] == incarnation.StartTime
}

// IncarnationFromID is the inverse of Incarnation.ID.
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

// MayReturn reports whether the incarnation was removed because it was silent or lost its address, and
// has not left since.
func (m *Machine) MayReturn(incarnation Incarnation) bool {
	startTime, isSilent := m.state.Silenced[incarnation.Name]
	return isSilent && startTime == incarnation.StartTime
}

// recordSilentRemoval records that a removed backend may return. Draining backends may not.
func (m *Machine) recordSilentRemoval(backend Backend) {
	if m.state.InUse >= ReturnVersion && !backend.Draining {
		m.state.Silenced[backend.NameOrID()] = backend.Born
	}
}

// forgetSilentRemoval prevents the return of the incarnation and of earlier ones of the same name.
func (m *Machine) forgetSilentRemoval(incarnation Incarnation) {
	if startTime, isSilent := m.state.Silenced[incarnation.Name]; isSilent && startTime <= incarnation.StartTime {
		delete(m.state.Silenced, incarnation.Name)
	}
}

// returnBackend registers a removed backend again if it may return.
func (m *Machine) returnBackend(backend Backend) {
	incarnation := backend.Incarnation()
	if !m.MayReturn(incarnation) {
		return
	}
	m.removals().forget(incarnation.Name)
	m.putBackend(backend)
}
