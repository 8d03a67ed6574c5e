// Package event defines the numbered log events. docs/EVENTS.md lists the same
// events; a test compares the two.
package event

import (
	"unicode/utf8"

	"github.com/rs/zerolog"
)

// Event is one kind of log event.
type Event struct {
	// Number identifies the event permanently and is never reused.
	Number  int
	Level   zerolog.Level
	Message string
}

// Log events by number range: 1000 replicas, 2000 nodes, 3000 transport, 4000 processes,
// 5000 directory, 6000 ledger, 7000 gateways.
var (
	ControlStarted        = Event{1001, zerolog.InfoLevel, "control replica started"}
	ControlStopping       = Event{1002, zerolog.InfoLevel, "control replica is stopping"}
	LeadershipGained      = Event{1003, zerolog.InfoLevel, "this replica became the leader"}
	LeadershipLost        = Event{1004, zerolog.WarnLevel, "this replica is no longer the leader"}
	SnapshotSaved         = Event{1005, zerolog.InfoLevel, "snapshot saved"}
	StorageFailed         = Event{1006, zerolog.ErrorLevel, "storage write failed; the replica is stopping"}
	ApplyFailed           = Event{1007, zerolog.ErrorLevel, "log entry could not be applied; the replica is stopping"}
	PlatformUnreachable   = Event{1008, zerolog.WarnLevel, "engine list could not be read from the platform"}
	JoinRequested         = Event{1009, zerolog.InfoLevel, "requested to join the group as a learner"}
	ReplicaStarted        = Event{1010, zerolog.InfoLevel, "replica started"}
	LeaderChanged         = Event{1011, zerolog.InfoLevel, "group leader changed"}
	MembershipChanged     = Event{1012, zerolog.InfoLevel, "group membership changed"}
	StorageUnavailable    = Event{1013, zerolog.ErrorLevel, "storage write failed; the replica is retrying"}
	StorageRecovered      = Event{1014, zerolog.InfoLevel, "storage writes succeed again"}
	SnapshotSent          = Event{1015, zerolog.InfoLevel, "snapshot sent to a replica"}
	SnapshotSendFailed    = Event{1016, zerolog.WarnLevel, "snapshot could not be sent to a replica"}
	AdmissionPending      = Event{1017, zerolog.WarnLevel, "this replica is still waiting for admission to the group"}
	VotersMissing         = Event{1018, zerolog.WarnLevel, "group has fewer voters than configured"}
	VotersComplete        = Event{1019, zerolog.InfoLevel, "group has all its voters"}
	SnapshotNotHeld       = Event{1020, zerolog.WarnLevel, "received snapshot is no longer held; it is not installed"}
	SnapshotReceiveFailed = Event{1021, zerolog.WarnLevel, "snapshot could not be received"}

	NodeStarted       = Event{2001, zerolog.InfoLevel, "node started"}
	NodeDraining      = Event{2002, zerolog.InfoLevel, "node is draining"}
	NodeStopped       = Event{2003, zerolog.InfoLevel, "node stopped"}
	LeaseGained       = Event{2004, zerolog.InfoLevel, "lease acquired"}
	LeaseLost         = Event{2005, zerolog.WarnLevel, "lease lost; work that needs the lease is not started"}
	DrainTimedOut     = Event{2006, zerolog.WarnLevel, "drain timeout expired with requests still in flight"}
	ScorerUnreachable = Event{2007, zerolog.WarnLevel, "scoring service is unreachable"}

	PeerUnreachable = Event{3001, zerolog.WarnLevel, "peer is unreachable; messages to it are dropped"}
	PeerReachable   = Event{3002, zerolog.InfoLevel, "peer is reachable again"}
	MalformedStream = Event{3003, zerolog.WarnLevel, "malformed message stream closed"}
	ForeignResponse = Event{3004, zerolog.WarnLevel, "backend response belongs to another request; it is discarded"}
	InvalidResponse = Event{3005, zerolog.WarnLevel, "backend response is invalid; it is discarded"}

	HTTPServerFailed = Event{4001, zerolog.ErrorLevel, "HTTP server failed"}
	LogLinesDropped  = Event{4002, zerolog.WarnLevel, "log lines were dropped"}
	ReloadRequested  = Event{4003, zerolog.InfoLevel, "settings reload requested"}
	SettingsApplied  = Event{4004, zerolog.InfoLevel, "changed settings applied"}
	SettingsRejected = Event{4005, zerolog.WarnLevel, "settings file is invalid; the previous settings stay in use"}

	ProcessStalled       = Event{4006, zerolog.WarnLevel, "this process stalled"}
	BootClockUnavailable = Event{4007, zerolog.WarnLevel, "no clock that counts suspended time is available"}

	BackendRegistered      = Event{5001, zerolog.InfoLevel, "backend registration changed"}
	BackendDeregistered    = Event{5002, zerolog.InfoLevel, "backend deregistered"}
	BackendSilent          = Event{5003, zerolog.WarnLevel, "backend sends no heartbeats"}
	BackendRemoved         = Event{5004, zerolog.WarnLevel, "backend removed after missed heartbeats"}
	ConfigurationSubmitted = Event{5005, zerolog.InfoLevel, "configuration submitted"}
	ConfigurationRejected  = Event{5006, zerolog.WarnLevel, "invalid configuration rejected"}
	WeightsPublished       = Event{5007, zerolog.InfoLevel, "new weight version published"}
	StoreRegistered        = Event{5008, zerolog.InfoLevel, "ledger store registered"}
	GroupFormed            = Event{5009, zerolog.InfoLevel, "initial ledger group formed"}
	RetireRequested        = Event{5010, zerolog.InfoLevel, "retirement of a ledger store requested"}
	ConfigurationApplied   = Event{5011, zerolog.InfoLevel, "different configuration version in use"}
	DirectoryReachable     = Event{5012, zerolog.InfoLevel, "directory is reachable again"}
	DirectoryUnreachable   = Event{5013, zerolog.WarnLevel, "no directory replica is reachable"}
	CallFailed             = Event{5014, zerolog.WarnLevel, "operator or trainer call failed"}
	UsageReported          = Event{5015, zerolog.InfoLevel, "usage report for a window sent"}
	UsageUpdateFailed      = Event{5016, zerolog.WarnLevel, "usage record could not be updated"}
	AddressConflict        = Event{5018, zerolog.WarnLevel, "backend not registered: another active backend holds its address"}
	UsageSendFailed        = Event{5017, zerolog.WarnLevel, "usage counts could not be sent to the directory"}

	CrashReported           = Event{5019, zerolog.WarnLevel, "backend crash during a request reported"}
	TrialOffered            = Event{5020, zerolog.InfoLevel, "trial of a quarantined request offered"}
	TrialStarted            = Event{5021, zerolog.InfoLevel, "trial of a quarantined request started"}
	QuarantineCallFailed    = Event{5022, zerolog.WarnLevel, "quarantine call to the directory failed"}
	LeaderUpdateFailed      = Event{5023, zerolog.WarnLevel, "directory leader could not commit an update"}
	StaleHeartbeatIgnored   = Event{5024, zerolog.InfoLevel, "late heartbeat from an earlier incarnation of a backend ignored"}
	InvalidHeartbeatIgnored = Event{5025, zerolog.WarnLevel, "invalid heartbeat ignored"}

	CapacityPlanned          = Event{5026, zerolog.InfoLevel, "capacity plan of a service changed"}
	ScalingOrderFinished     = Event{5027, zerolog.InfoLevel, "scaling order finished"}
	ScalingResultNotRecorded = Event{5028, zerolog.WarnLevel, "result of a scaling order could not be recorded"}
	DemandSendFailed         = Event{5029, zerolog.InfoLevel, "demand could not be sent to the directory"}

	WatchesSuspended = Event{5030, zerolog.WarnLevel, "this replica may be stale; its watches are closed"}
	WatchesResumed   = Event{5031, zerolog.InfoLevel, "this replica is up to date again; it serves watches"}
	CopyRefreshed    = Event{5032, zerolog.InfoLevel, "stale copy of the directory refreshed"}
	CopyStale        = Event{5033, zerolog.WarnLevel, "copy of the directory is stale and no replica answers"}

	BackendReturned       = Event{5034, zerolog.InfoLevel, "removed backend sends heartbeats again; it is registered again"}
	CommandVersionChanged = Event{5035, zerolog.InfoLevel, "directory command version in use changed"}
	CommandVersionPending = Event{5036, zerolog.WarnLevel, "newer directory command version awaits support by all members"}
	MemberOutdated        = Event{5037, zerolog.ErrorLevel, "directory members do not support the command version in use"}
	BuildsChanged         = Event{5038, zerolog.InfoLevel, "builds of the directory members changed"}
	HeartbeatIgnored      = Event{5039, zerolog.WarnLevel, "heartbeat of a backend ignored; its registration stays as it is"}
	DepartureAcknowledged = Event{5040, zerolog.InfoLevel, "departure of a backend acknowledged"}

	StepSubmitted     = Event{6001, zerolog.InfoLevel, "step submitted"}
	StepResubmitted   = Event{6002, zerolog.InfoLevel, "step resubmitted"}
	StepEnded         = Event{6003, zerolog.InfoLevel, "step ended"}
	SampleStarted     = Event{6004, zerolog.InfoLevel, "sample started on an engine"}
	SampleRunEnded    = Event{6005, zerolog.InfoLevel, "sample run ended"}
	SampleFailed      = Event{6006, zerolog.WarnLevel, "sample failed permanently"}
	ResultsRecorded   = Event{6007, zerolog.InfoLevel, "results recorded"}
	LoadOrdered       = Event{6008, zerolog.InfoLevel, "engine ordered to load weights"}
	LoadEnded         = Event{6009, zerolog.InfoLevel, "weight load ended"}
	SampleTextReused  = Event{6010, zerolog.InfoLevel, "complete text from an earlier step reused for a sample"}
	SampleMoved       = Event{6011, zerolog.InfoLevel, "sample moved off a slow engine"}
	TextsCheckpointed = Event{6012, zerolog.InfoLevel, "texts of long runs checkpointed"}
	StepCompleted     = Event{6013, zerolog.InfoLevel, "step has all the groups that the trainer waits for"}

	SpeculativeRunPromoted  = Event{6014, zerolog.InfoLevel, "speculative run promoted to a run of a new step"}
	SpeculativeRunCancelled = Event{6015, zerolog.InfoLevel, "speculative run cancelled; no step claimed it"}
	EngineInspected         = Event{6016, zerolog.InfoLevel, "new leader queried the state of an engine"}
	ResultsIncomplete       = Event{6017, zerolog.WarnLevel, "results do not continue the recorded texts; they are recorded again in full"}
	PacesRecorded           = Event{6018, zerolog.InfoLevel, "engine paces recorded"}
	RunnerLinkOpened        = Event{6019, zerolog.InfoLevel, "leader opened a runner link to this store"}
	RunnerLinkClosed        = Event{6020, zerolog.InfoLevel, "runner link from the leader closed"}
	RunnerConnected         = Event{6021, zerolog.InfoLevel, "connected to a runner"}
	RunnerDisconnected      = Event{6022, zerolog.WarnLevel, "connection to a runner lost"}
	OrphanedRunsEnded       = Event{6023, zerolog.WarnLevel, "runs ended because no leader claimed them"}
	RunAdopted              = Event{6024, zerolog.InfoLevel, "run of an earlier leader adopted"}
	FailuresRecorded        = Event{6026, zerolog.InfoLevel, "failure counts of a sample recorded"}
	EngineRestarted         = Event{6027, zerolog.WarnLevel, "engine has restarted since it was registered"}

	RewardDelayed    = Event{6028, zerolog.InfoLevel, "reward call did not score its sample at once"}
	RunnerLinkFailed = Event{6029, zerolog.WarnLevel, "runner link cannot be opened"}
	RunDiscarded     = Event{6030, zerolog.WarnLevel, "run discarded; its engine cannot hold the versions that it stated"}

	GroupsDeferred = Event{6035, zerolog.InfoLevel, "groups deferred; not all open groups can complete in time"}

	RequestEnded            = Event{7001, zerolog.InfoLevel, "request ended"}
	GatewayStarted          = Event{7002, zerolog.InfoLevel, "gateway started"}
	GatewayStopping         = Event{7003, zerolog.InfoLevel, "gateway is stopping"}
	GatewayStopped          = Event{7004, zerolog.InfoLevel, "gateway stopped"}
	StepForwarded           = Event{7005, zerolog.InfoLevel, "step forwarded to the ledger"}
	AttemptEnded            = Event{7006, zerolog.InfoLevel, "attempt ended without answering its request"}
	LocalReplicaUnavailable = Event{7007, zerolog.WarnLevel, "ledger replica in the local zone does not answer"}
	RequestQuarantined      = Event{7008, zerolog.WarnLevel, "request refused; its content crashes backends"}
	LimitStarted            = Event{7009, zerolog.WarnLevel, "service is overloaded; its requests are limited"}
	LimitEnded              = Event{7010, zerolog.InfoLevel, "service no longer limits requests"}
)

// All lists the events in the order of their numbers.
var All = []Event{
	ControlStarted, ControlStopping, LeadershipGained, LeadershipLost, SnapshotSaved,
	StorageFailed, ApplyFailed, PlatformUnreachable, JoinRequested, ReplicaStarted, LeaderChanged, MembershipChanged, StorageUnavailable, StorageRecovered, SnapshotSent, SnapshotSendFailed, AdmissionPending, VotersMissing, VotersComplete, SnapshotNotHeld, SnapshotReceiveFailed,
	NodeStarted, NodeDraining, NodeStopped, LeaseGained, LeaseLost, DrainTimedOut, ScorerUnreachable,
	PeerUnreachable, PeerReachable, MalformedStream, ForeignResponse, InvalidResponse,
	HTTPServerFailed, LogLinesDropped, ReloadRequested, SettingsApplied, SettingsRejected, ProcessStalled, BootClockUnavailable,
	BackendRegistered, BackendDeregistered, BackendSilent, BackendRemoved, ConfigurationSubmitted, ConfigurationRejected, WeightsPublished, StoreRegistered, GroupFormed, RetireRequested, ConfigurationApplied, DirectoryReachable, DirectoryUnreachable, CallFailed, UsageReported, UsageUpdateFailed, UsageSendFailed, AddressConflict, CrashReported, TrialOffered, TrialStarted, QuarantineCallFailed, LeaderUpdateFailed, StaleHeartbeatIgnored, InvalidHeartbeatIgnored, CapacityPlanned, ScalingOrderFinished, ScalingResultNotRecorded, DemandSendFailed, WatchesSuspended, WatchesResumed, CopyRefreshed, CopyStale, BackendReturned, CommandVersionChanged, CommandVersionPending, MemberOutdated, BuildsChanged, HeartbeatIgnored, DepartureAcknowledged,
	StepSubmitted, StepResubmitted, StepEnded, SampleStarted, SampleRunEnded, SampleFailed, ResultsRecorded, LoadOrdered, LoadEnded, SampleTextReused, SampleMoved, TextsCheckpointed, StepCompleted, SpeculativeRunPromoted, SpeculativeRunCancelled, EngineInspected, ResultsIncomplete, PacesRecorded, RunnerLinkOpened, RunnerLinkClosed, RunnerConnected, RunnerDisconnected, OrphanedRunsEnded, RunAdopted, FailuresRecorded, EngineRestarted, RewardDelayed, RunnerLinkFailed, RunDiscarded, GroupsDeferred,
	RequestEnded, GatewayStarted, GatewayStopping, GatewayStopped, StepForwarded, AttemptEnded, LocalReplicaUnavailable, RequestQuarantined, LimitStarted, LimitEnded,
}

// On starts a log line for the event. Send writes it.
func (e Event) On(logger *zerolog.Logger) *Line {
	return &Line{entry: logger.WithLevel(e.Level).Int("event", e.Number), message: e.Message}
}

// Line builds one log line.
type Line struct {
	entry   *zerolog.Event
	message string
}

// maxTextBytes bounds the text of a field. Clients choose some texts, such as the IDs of their requests.
const maxTextBytes = 512

// truncate shortens a text that is longer than maxTextBytes, at the start of a character, and marks it.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "…"
}

// Str adds a string field. A long text is shortened.
func (l *Line) Str(key, value string) *Line {
	l.entry.Str(key, truncate(value))
	return l
}

// Uint adds an unsigned integer field.
func (l *Line) Uint(key string, value uint64) *Line {
	l.entry.Uint64(key, value)
	return l
}

// Int adds an integer field.
func (l *Line) Int(key string, value int64) *Line {
	l.entry.Int64(key, value)
	return l
}

// Err adds an error field. A long text is shortened.
func (l *Line) Err(err error) *Line {
	if err != nil {
		l.entry.Str(zerolog.ErrorFieldName, truncate(err.Error()))
	}
	return l
}

// Send writes the line.
func (l *Line) Send() { l.entry.Msg(l.message) }
