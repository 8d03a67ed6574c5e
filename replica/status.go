package replica

import (
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
)

// Status is a copy of the replica's state for use outside the loop.
type Status struct {
	ID      consensus.ReplicaID
	Leading bool
	// Serving is set on a leader that has applied everything that earlier leaders committed.
	Serving bool
	// LeaderKnown is set while a leader is known.
	LeaderKnown bool
	Leader      string
	Term        uint64
	Commit      uint64
	LogSize     int
	Members     []consensus.Member
	// MembersCommitted is set if Members can't be reverted by a new leader.
	MembersCommitted bool
	// SilentVoters is, on a leader, the number of voters that have not replied for an election timeout.
	SilentVoters int
	// MissingVoters is, on a leader, the number of voters that the group lacks, as in Core.MissingVoters.
	MissingVoters int
}

// Voters returns the number of voters.
func (s *Status) Voters() int { return consensus.Membership{Members: s.Members}.Voters() }

// Status returns the current status.
func (r *Replica) Status() *Status { return r.status.Load() }

func (r *Replica) updateStatus() {
	raft := r.core.Raft()
	r.logBytes.Store(int64(r.core.LogBytes()))
	previous := r.status.Load()
	status := &Status{
		ID: raft.ID(), Leading: r.core.Leading(), Serving: r.core.Serving(), LeaderKnown: raft.Leader() != consensus.None,
		Leader: r.core.LeaderAddress(), Term: raft.Term(), Commit: raft.Commit(), LogSize: raft.LogSize(),
		Members: raft.Membership().Members, MembersCommitted: raft.MembershipCommitted(),
		SilentVoters: r.core.SilentVoters(), MissingVoters: r.core.MissingVoters(),
	}
	if previous.equal(status) {
		return
	}
	r.status.Store(status)
	r.logLeadership(previous, status)
	r.logRedundancy(previous, status)
	if previous.Serving != status.Serving {
		r.notifyChanged()
	}
}

func (s *Status) equal(other *Status) bool {
	return s.Leading == other.Leading && s.Serving == other.Serving && s.LeaderKnown == other.LeaderKnown && s.Leader == other.Leader &&
		s.Term == other.Term && s.Commit == other.Commit && s.MembersCommitted == other.MembersCommitted &&
		s.SilentVoters == other.SilentVoters && s.MissingVoters == other.MissingVoters && s.LogSize == other.LogSize && slices.Equal(s.Members, other.Members)
}

func (r *Replica) logLeadership(previous, status *Status) {
	switch {
	case status.Leading && !previous.Leading:
		event.LeadershipGained.On(r.logger).Uint("term", status.Term).Uint("commit", status.Commit).Send()
	case previous.Leading && !status.Leading:
		event.LeadershipLost.On(r.logger).Uint("term", status.Term).Send()
	case previous.Leader != status.Leader:
		event.LeaderChanged.On(r.logger).Str("leader", status.Leader).Uint("term", status.Term).Send()
	}
	if len(previous.Members) != len(status.Members) {
		event.MembershipChanged.On(r.logger).Uint("members", uint64(len(status.Members))).Send()
	}
}

// logRedundancy logs on the leader when the number of missing voters changes: the loss of voters is not
// visible in the service until the quorum is lost.
func (r *Replica) logRedundancy(previous, status *Status) {
	if previous.MissingVoters == status.MissingVoters || !status.Leading {
		return
	}
	voters := uint64(r.settings.Voters - status.MissingVoters)
	if status.MissingVoters == 0 {
		event.VotersComplete.On(r.logger).Uint("voters", voters).Send()
		return
	}
	event.VotersMissing.On(r.logger).Uint("voters", voters).Uint("wanted", uint64(r.settings.Voters)).
		Uint("members", uint64(len(status.Members))).Send()
}
