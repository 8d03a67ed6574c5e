package replica

import (
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
)

// Status is what other goroutines may know without entering the loop.
type Status struct {
	ID      consensus.ReplicaID
	Leading bool
	// Serving is set on a leader that has applied all that is committed.
	Serving bool
	// Heard is set while a leader is known.
	Heard   bool
	Leader  string
	Term    uint64
	Commit  uint64
	LogSize int
	Members []consensus.Member
	// MembersCommitted is set once no leader can go back to earlier members.
	MembersCommitted bool
	// SilentVoters is, on a leader, the number of voters that have not replied
	// for an election timeout: how much of the group's redundancy is gone.
	SilentVoters int
	// MissingVoters is, on a leader, how many voters the group lacks that answer.
	MissingVoters int
}

// Voters returns the number of members with a vote.
func (s *Status) Voters() int { return consensus.Membership{Members: s.Members}.Voters() }

// Status returns the newest status.
func (r *Replica) Status() *Status { return r.status.Load() }

func (r *Replica) updateStatus() {
	raft := r.core.Raft()
	previous := r.status.Load()
	status := &Status{
		ID: raft.ID(), Leading: r.core.Leading(), Serving: r.core.Serving(), Heard: raft.Leader() != consensus.None,
		Leader: r.core.LeaderAddress(), Term: raft.Term(), Commit: raft.Commit(), LogSize: raft.LogSize(),
		Members: raft.Membership().Members, MembersCommitted: raft.MembershipCommitted(),
		SilentVoters: r.core.SilentVoters(), MissingVoters: r.core.MissingVoters(),
	}
	if previous.same(status) {
		return
	}
	r.status.Store(status)
	r.logLeadership(previous, status)
	r.logRedundancy(previous, status)
	if previous.Serving != status.Serving {
		r.signal()
	}
}

func (s *Status) same(other *Status) bool {
	return s.Leading == other.Leading && s.Serving == other.Serving && s.Heard == other.Heard && s.Leader == other.Leader &&
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

// logRedundancy says on a leader how many voters are missing whenever that changes: a group
// that has lost voters serves as ever, and only the next losses show it.
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
