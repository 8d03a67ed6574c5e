// Package event is the catalogue of numbered log events. docs/EVENTS.md lists
// the same numbers; a test keeps the two in agreement.
package event

import "github.com/rs/zerolog"

// Event is one kind of log event.
type Event struct {
	// Number identifies the event for good; it is never given to another.
	Number int
	Level  zerolog.Level
	// Text is the event's message.
	Text string
}

// The events.
var (
	ControlStarted      = Event{1001, zerolog.InfoLevel, "control replica started"}
	ControlStopping     = Event{1002, zerolog.InfoLevel, "control replica is stopping"}
	LeadershipGained    = Event{1003, zerolog.InfoLevel, "this replica leads"}
	LeadershipLost      = Event{1004, zerolog.WarnLevel, "this replica leads no more"}
	SnapshotSaved       = Event{1005, zerolog.InfoLevel, "snapshot saved"}
	StorageFailed       = Event{1006, zerolog.ErrorLevel, "storage failed; the replica stops"}
	ApplyFailed         = Event{1007, zerolog.ErrorLevel, "a log entry cannot be applied; the replica stops"}
	PlatformUnreachable = Event{1008, zerolog.WarnLevel, "the platform's list cannot be read"}
	JoinRequested       = Event{1009, zerolog.InfoLevel, "asking to join the group as a learner"}
	ReplicaStarted      = Event{1010, zerolog.InfoLevel, "replica started"}
	LeaderChanged       = Event{1011, zerolog.InfoLevel, "another replica leads"}
	MembershipChanged   = Event{1012, zerolog.InfoLevel, "the group's membership has changed"}
	StorageRefused      = Event{1013, zerolog.ErrorLevel, "storage refuses writes; the replica waits"}
	StorageAccepts      = Event{1014, zerolog.InfoLevel, "storage takes writes again"}
	SnapshotSent        = Event{1015, zerolog.InfoLevel, "a snapshot was sent to a replica"}
	SnapshotUnsent      = Event{1016, zerolog.WarnLevel, "a snapshot could not be sent to a replica"}
	StaysOutside        = Event{1017, zerolog.WarnLevel, "this replica asks in vain to be let into the group"}
	VotersMissing       = Event{1018, zerolog.WarnLevel, "the group lacks voters"}
	VotersComplete      = Event{1019, zerolog.InfoLevel, "the group has all its voters"}

	NodeStarted       = Event{2001, zerolog.InfoLevel, "node started"}
	NodeDraining      = Event{2002, zerolog.InfoLevel, "node is draining"}
	NodeStopped       = Event{2003, zerolog.InfoLevel, "node stopped"}
	LeaseGained       = Event{2004, zerolog.InfoLevel, "lease gained"}
	LeaseLost         = Event{2005, zerolog.WarnLevel, "lease lost; no new governed work starts"}
	DrainTimedOut     = Event{2006, zerolog.WarnLevel, "requests were still in flight at the end of the drain time"}
	ScorerUnreachable = Event{2007, zerolog.WarnLevel, "the scoring service cannot be reached"}

	PeerUnreachable = Event{3001, zerolog.WarnLevel, "a peer cannot be reached; messages to it are dropped"}
	PeerReachable   = Event{3002, zerolog.InfoLevel, "a peer can be reached again"}
	MalformedStream = Event{3003, zerolog.WarnLevel, "a stream of messages was malformed and has been closed"}

	HTTPServerFailed = Event{4001, zerolog.ErrorLevel, "an HTTP server failed"}
	LinesDropped     = Event{4002, zerolog.WarnLevel, "log lines were dropped"}
	ReloadAsked      = Event{4003, zerolog.InfoLevel, "told to read the settings again"}
	SettingsTaken    = Event{4004, zerolog.InfoLevel, "changed settings are in use"}
	SettingsRefused  = Event{4005, zerolog.WarnLevel, "the settings file is wrong; the earlier settings hold"}

	ProcessStoodStill = Event{4006, zerolog.WarnLevel, "this process stood still"}
	NoBootClock       = Event{4007, zerolog.WarnLevel, "the machine has no clock that counts suspensions"}

	BackendRegistered    = Event{5001, zerolog.InfoLevel, "a backend's registration has changed"}
	BackendLeft          = Event{5002, zerolog.InfoLevel, "a backend has left"}
	BackendSilent        = Event{5003, zerolog.WarnLevel, "a backend sends no heartbeats"}
	BackendGone          = Event{5004, zerolog.WarnLevel, "a silent backend has been taken out"}
	ConfigurationPut     = Event{5005, zerolog.InfoLevel, "a configuration was offered"}
	ConfigurationRefused = Event{5006, zerolog.WarnLevel, "a configuration is invalid"}
	VersionNamed         = Event{5007, zerolog.InfoLevel, "a version of weights was named"}
	StoreRegistered      = Event{5008, zerolog.InfoLevel, "a store has registered"}
	GroupFormed          = Event{5009, zerolog.InfoLevel, "the first group of stores is formed"}
	RetireAsked          = Event{5010, zerolog.InfoLevel, "a store is to be emptied"}
	ConfigurationTaken   = Event{5011, zerolog.InfoLevel, "this process follows another configuration"}
	DirectoryReachable   = Event{5012, zerolog.InfoLevel, "the directory can be reached again"}
	DirectoryUnreachable = Event{5013, zerolog.WarnLevel, "no replica of the directory can be reached"}
	CallNotServed        = Event{5014, zerolog.WarnLevel, "a call of an operator or trainer was not carried out"}
	UsageReported        = Event{5015, zerolog.InfoLevel, "a window's usage was reported"}
	UsageUnfixed         = Event{5016, zerolog.WarnLevel, "the record of usage could not be changed"}
	AddressContested     = Event{5018, zerolog.WarnLevel, "a backend's address is held by another one that is heard of"}
	UsageUntold          = Event{5017, zerolog.WarnLevel, "counts of usage could not be handed on"}

	CrashTold        = Event{5019, zerolog.WarnLevel, "a backend has ended under a request"}
	TrialOffered     = Event{5020, zerolog.InfoLevel, "a request that is held back may be tried again"}
	TrialTaken       = Event{5021, zerolog.InfoLevel, "a request that is held back is tried again"}
	CrashesUntold    = Event{5022, zerolog.WarnLevel, "crashes under requests could not be told"}
	ReviewFailed     = Event{5023, zerolog.WarnLevel, "a decision of the directory's leader could not be recorded"}
	EarlierLifeHeard = Event{5024, zerolog.InfoLevel, "a heartbeat of an earlier life came late"}
	HeartbeatSpoiled = Event{5025, zerolog.WarnLevel, "a heartbeat could not be used"}

	CapacityPlanned = Event{5026, zerolog.InfoLevel, "a service needs another number of backends, or for another reason"}
	BackendsOrdered = Event{5027, zerolog.InfoLevel, "an order of backends has ended"}
	OrderUnrecorded = Event{5028, zerolog.WarnLevel, "the answer to an order of backends could not be recorded"}
	DemandUntold    = Event{5029, zerolog.InfoLevel, "the ledger's demand could not be handed on"}

	// WatchesLetGo: the replica may trail.
	WatchesLetGo = Event{5030, zerolog.WarnLevel, "this replica cannot prove that it holds everything; its watchers ask others"}
	WatchesHeld  = Event{5031, zerolog.InfoLevel, "this replica holds everything again, and watches"}
	// CopyRenewed: of a process that follows the directory.
	CopyRenewed    = Event{5032, zerolog.InfoLevel, "a copy of the directory that grew old was asked for"}
	CopyOutOfTouch = Event{5033, zerolog.WarnLevel, "a copy of the directory is too old, and no replica answers"}

	BackendReturned = Event{5034, zerolog.InfoLevel, "a backend that was taken out for its silence is heard again"}
	VersionInUse    = Event{5035, zerolog.InfoLevel, "the directory's commands are used in the meanings of another version"}
	VersionAwaited  = Event{5036, zerolog.WarnLevel, "the directory's commands keep an earlier meaning until all members know the later one"}
	MemberTooEarly  = Event{5037, zerolog.ErrorLevel, "members of the directory do not know the meanings that are in use"}
	BuildsChanged   = Event{5038, zerolog.InfoLevel, "the builds of the directory's members have changed"}

	StepTaken         = Event{6001, zerolog.InfoLevel, "a step was handed in"}
	StepKnown         = Event{6002, zerolog.InfoLevel, "a step was handed in again"}
	StepEnded         = Event{6003, zerolog.InfoLevel, "a step was ended"}
	SampleStarted     = Event{6004, zerolog.InfoLevel, "a sample starts on an engine"}
	SampleRunEnded    = Event{6005, zerolog.InfoLevel, "a sample's run has ended"}
	SampleDead        = Event{6006, zerolog.WarnLevel, "a sample was given up"}
	ResultsRecorded   = Event{6007, zerolog.InfoLevel, "results were recorded"}
	OrderSent         = Event{6008, zerolog.InfoLevel, "an engine was ordered to load weights"}
	LoadEnded         = Event{6009, zerolog.InfoLevel, "a load of weights has ended"}
	SampleKept        = Event{6010, zerolog.InfoLevel, "a sample's text was kept from an earlier step"}
	SampleMoved       = Event{6011, zerolog.InfoLevel, "a sample leaves an engine that is slow"}
	TextsCheckpointed = Event{6012, zerolog.InfoLevel, "the texts of long runs were kept"}
	StepWhole         = Event{6013, zerolog.InfoLevel, "the groups that the trainer waits for are whole"}

	SampleTakenOver   = Event{6014, zerolog.InfoLevel, "a step has taken over a run ahead of it"}
	RunAheadEnded     = Event{6015, zerolog.InfoLevel, "a run ahead that no step has asked for has ended"}
	EngineInspected   = Event{6016, zerolog.InfoLevel, "a new leader has asked an engine what it holds"}
	ResultsIncomplete = Event{6017, zerolog.WarnLevel, "results did not go on from the texts that are kept"}
	PacesRecorded     = Event{6018, zerolog.InfoLevel, "the engines' paces were recorded"}
	RunnerLinkOpened  = Event{6019, zerolog.InfoLevel, "this store holds streams of runs for a leader"}
	RunnerLinkEnded   = Event{6020, zerolog.InfoLevel, "this store holds streams for the leader no more"}
	RunnerFound       = Event{6021, zerolog.InfoLevel, "a store can hold streams of runs"}
	RunnerLost        = Event{6022, zerolog.WarnLevel, "a store that held streams of runs was lost"}
	RunsUnclaimed     = Event{6023, zerolog.WarnLevel, "runs that no leader has claimed are ended"}
	RunAdopted        = Event{6024, zerolog.InfoLevel, "a run of an earlier leader goes on"}
	SampleHeldBack    = Event{6025, zerolog.WarnLevel, "a sample that crashes engines is held back"}
	FailuresKept      = Event{6026, zerolog.InfoLevel, "a sample's failures were recorded"}
	EngineReborn      = Event{6027, zerolog.WarnLevel, "an engine has started again, and is not ordered as the one before"}

	GroupsPutBack = Event{6035, zerolog.InfoLevel, "not all open groups can be whole in time"}

	RequestEnded     = Event{7001, zerolog.InfoLevel, "a request has ended"}
	GatewayStarted   = Event{7002, zerolog.InfoLevel, "gateway started"}
	GatewayStopping  = Event{7003, zerolog.InfoLevel, "gateway is stopping"}
	GatewayStopped   = Event{7004, zerolog.InfoLevel, "gateway stopped"}
	StepForwarded    = Event{7005, zerolog.InfoLevel, "a step was passed to the ledger"}
	AttemptEnded     = Event{7006, zerolog.InfoLevel, "an attempt brought no answer to its request"}
	NearStoreAvoided = Event{7007, zerolog.WarnLevel, "the ledger's replica in the own zone does not answer"}
	RequestHeldBack  = Event{7008, zerolog.WarnLevel, "a request that crashes backends was refused"}
	LimitBegun       = Event{7009, zerolog.WarnLevel, "a service has more requests than it can serve in time"}
	LimitEnded       = Event{7010, zerolog.InfoLevel, "a service serves all its requests in time again"}
)

// All lists the events in the order of their numbers.
var All = []Event{
	ControlStarted, ControlStopping, LeadershipGained, LeadershipLost, SnapshotSaved,
	StorageFailed, ApplyFailed, PlatformUnreachable, JoinRequested, ReplicaStarted, LeaderChanged, MembershipChanged, StorageRefused, StorageAccepts, SnapshotSent, SnapshotUnsent, StaysOutside, VotersMissing, VotersComplete,
	NodeStarted, NodeDraining, NodeStopped, LeaseGained, LeaseLost, DrainTimedOut, ScorerUnreachable,
	PeerUnreachable, PeerReachable, MalformedStream,
	HTTPServerFailed, LinesDropped, ReloadAsked, SettingsTaken, SettingsRefused, ProcessStoodStill, NoBootClock,
	BackendRegistered, BackendLeft, BackendSilent, BackendGone, ConfigurationPut, ConfigurationRefused, VersionNamed, StoreRegistered, GroupFormed, RetireAsked, ConfigurationTaken, DirectoryReachable, DirectoryUnreachable, CallNotServed, UsageReported, UsageUnfixed, UsageUntold, AddressContested, CrashTold, TrialOffered, TrialTaken, CrashesUntold, ReviewFailed, EarlierLifeHeard, HeartbeatSpoiled, CapacityPlanned, BackendsOrdered, OrderUnrecorded, DemandUntold, WatchesLetGo, WatchesHeld, CopyRenewed, CopyOutOfTouch, BackendReturned, VersionInUse, VersionAwaited, MemberTooEarly, BuildsChanged,
	StepTaken, StepKnown, StepEnded, SampleStarted, SampleRunEnded, SampleDead, ResultsRecorded, OrderSent, LoadEnded, SampleKept, SampleMoved, TextsCheckpointed, StepWhole, SampleTakenOver, RunAheadEnded, EngineInspected, ResultsIncomplete, PacesRecorded, RunnerLinkOpened, RunnerLinkEnded, RunnerFound, RunnerLost, RunsUnclaimed, RunAdopted, SampleHeldBack, FailuresKept, EngineReborn, GroupsPutBack,
	RequestEnded, GatewayStarted, GatewayStopping, GatewayStopped, StepForwarded, AttemptEnded, NearStoreAvoided, RequestHeldBack, LimitBegun, LimitEnded,
}

// On returns a log line for the event, to which fields can be added; Send ends it.
func (e Event) On(logger *zerolog.Logger) *Line {
	return &Line{entry: logger.WithLevel(e.Level).Int("event", e.Number), text: e.Text}
}

// Line is a log line under construction.
type Line struct {
	entry *zerolog.Event
	text  string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line {
	l.entry.Str(key, value)
	return l
}

// Uint adds a number field.
func (l *Line) Uint(key string, value uint64) *Line {
	l.entry.Uint64(key, value)
	return l
}

// Int adds a number field.
func (l *Line) Int(key string, value int64) *Line {
	l.entry.Int64(key, value)
	return l
}

// Err adds an error field.
func (l *Line) Err(err error) *Line {
	l.entry.Err(err)
	return l
}

// Send writes the line.
func (l *Line) Send() { l.entry.Msg(l.text) }
