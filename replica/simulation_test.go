package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

const (
	// catchUpTicks is how long a machine counts as lost after it has recovered.
	catchUpTicks = 86
	// maxLeaderlessTicks is how long a group may have no serving leader.
	maxLeaderlessTicks = 100
	// recoveryTicks is how long a group may take to recover after more machines than it tolerates
	// were down with their disks kept.
	recoveryTicks = 200
	seedCount     = 3
	// maxQueuedMessages limits the messages queued for a stalled machine.
	maxQueuedMessages = 200
	// The delays of Replica, in ticks.
	joinTicks         = int(joinInterval / TickInterval)
	standbyDelayTicks = int(standbyDelay / TickInterval)
	standbyJoinTicks  = int(standbyJoinInterval / TickInterval)
)

// cutMode is the direction in which a partition drops messages.
type cutMode int

const (
	cutBoth cutMode = iota
	cutOut
	cutIn
)

// machine is a simulated process and its current faults.
type machine struct {
	*process
	// replaced is set on a machine that was permanently replaced by another one.
	replaced bool
	// The machine is down, stalled, partitioned or counted as lost until these ticks.
	downUntil, stalledUntil, cutUntil, lostUntil int
	cutMode                                      cutMode
	cutGroup                                     int
	// missedTicks are still to be caught up; queued are messages received during a stall.
	missedTicks int
	queued      []protocol.Message
	// lastMemberAt, nextJoinAt and joinRound control the machine's join requests.
	lastMemberAt, nextJoinAt, joinRound int
}

// simulation is a group on an unreliable network, whose machines stall, are partitioned and are replaced,
// and whose settings name three of them.
type simulation struct {
	*group
	random    *rand.Rand
	tick      int
	machines  []*machine
	byAddress map[string]*machine
	// seeds are the addresses in the settings; reportedMembers are the members that the group last reported.
	seeds, reportedMembers []string
	isLedger               bool
	tolerance              int
	// linkUpAt is the tick from which a failed link delivers messages again.
	linkUpAt map[[2]string]int
	// The probabilities that a tick is late and that a message is lost.
	lateTickProbability, messageLossProbability float64
	// leaderlessTicks counts ticks without a serving leader. exceededAt is the last tick at which more
	// machines than tolerated were lost.
	leaderlessTicks, exceededAt int
	events                      []string
}

func (s *simulation) logf(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%d: ", s.tick)+fmt.Sprintf(format, args...))
}

// failf fails the test and prints the events.
func (s *simulation) failf(format string, arguments ...any) {
	require.Fail(s.t, fmt.Sprintf("tick %d: ", s.tick)+fmt.Sprintf(format, arguments...), strings.Join(s.events, "\n"))
}

func newSimulation(t require.TestingT, seed uint64, size, tolerance int, ledger bool) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{random: random, byAddress: map[string]*machine{}, linkUpAt: map[[2]string]int{}, isLedger: ledger, tolerance: tolerance}
	s.group = &group{t: t, proposals: map[uint64]uint64{}, identity: 100, voters: 2*tolerance + 1}
	if ledger {
		s.standby = max(tolerance, 1)
	}
	switch random.IntN(3) {
	case 0:
		s.lateTickProbability = 0.2
	case 1:
		s.lateTickProbability = 0.05
	}
	if random.IntN(3) == 0 {
		s.messageLossProbability = 0.02
	}
	initialCount := 3
	if ledger {
		initialCount = min(s.voters, size)
	}
	var membership consensus.Membership
	for number := range initialCount {
		membership.Members = append(membership.Members, consensus.Member{ID: consensus.ReplicaID(number + 1), Address: fmt.Sprintf("m%d", number), Voter: true})
		s.seeds = append(s.seeds, fmt.Sprintf("m%d", number))
	}
	for number := initialCount; number < seedCount; number++ {
		s.seeds = append(s.seeds, fmt.Sprintf("m%d", number))
	}
	s.seeds = s.seeds[:seedCount]
	s.reportedMembers = slices.Clone(s.seeds)
	for number := range size {
		m := &machine{process: &process{address: fmt.Sprintf("m%d", number)}}
		if number < initialCount {
			m.identity = membership.Members[number].ID
			m.snapshot = consensus.Snapshot{Index: 1, Term: 1, Membership: membership}
			m.state = consensus.HardState{Term: 1, Commit: 1}
		} else {
			s.identity++
			m.identity = s.identity
		}
		s.machines = append(s.machines, m)
		s.byAddress[m.address] = m
		s.boot(m)
	}
	return s
}

func (s *simulation) boot(m *machine) {
	m.machine, m.job = &numbers{}, nil
	nonLeaderDelay := 0
	if s.isLedger {
		nonLeaderDelay = nonLeaderDelayTicks
	}
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: m.identity, ElectionTicks: electionTicks, FirstElectionTicks: firstElectionTicks, NonLeaderDelayTicks: nonLeaderDelay, HeartbeatTicks: heartbeatTicks, MaxAppendBytes: 1 << 10, Seed: s.random.Uint64(),
			HardState: m.state, Snapshot: m.snapshot, Entries: slices.Clone(m.entries),
		},
		Address: m.address, Voters: s.voters, StandbyLearners: s.standby, SilentTicks: silentTicks, SnapshotBytes: 1 << 20, SnapshotEntries: 40,
	}, m.machine, bytes.NewReader(m.snapshot.Data))
	if err != nil {
		s.failf("boot: %v", err)
	}
	m.core = core
	m.queued, m.missedTicks, m.downUntil, m.stalledUntil = nil, 0, 0, 0
	m.lastMemberAt, m.joinRound = s.tick, 0
	m.nextJoinAt = s.tick
	s.delayLinks(m)
}

// delayLinks fails some of the links to the machine for a short time.
func (s *simulation) delayLinks(m *machine) {
	for _, other := range s.machines {
		if s.random.IntN(2) == 0 {
			s.linkUpAt[[2]string{other.address, m.address}] = s.tick + s.random.IntN(25)
		}
	}
}

func (m *machine) isRunning(tick int) bool {
	return m.core != nil && tick >= m.stalledUntil
}

// isLost reports whether the machine counts against the tolerated losses. A replaced machine doesn't: its
// replacement does.
func (m *machine) isLost(tick int) bool {
	return !m.replaced && (m.core == nil || tick < max(m.stalledUntil, m.cutUntil, m.lostUntil))
}

func (s *simulation) lostCount() int {
	count := 0
	for _, m := range s.machines {
		if m.isLost(s.tick) {
			count++
		}
	}
	return count
}

func (s *simulation) isBlocked(from, to *machine) bool {
	if s.tick < s.linkUpAt[[2]string{from.address, to.address}] {
		return true
	}
	fromCut, toCut := s.tick < from.cutUntil, s.tick < to.cutUntil
	if fromCut && toCut && from.cutGroup == to.cutGroup {
		return false
	}
	return fromCut && from.cutMode != cutIn || toCut && to.cutMode != cutOut
}

// contacts returns the addresses that the machine asks for admission, like Replica.contacts.
func (s *simulation) contacts(m *machine) []string {
	addresses := slices.Clone(s.seeds)
	if s.isLedger {
		addresses = slices.Clone(s.reportedMembers)
	}
	for _, member := range m.core.Raft().Membership().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == m.address })
}

// requestAdmission sends a non-member's join requests, like Replica.requestAdmission.
func (s *simulation) requestAdmission(m *machine) {
	if s.tick < m.nextJoinAt {
		return
	}
	m.nextJoinAt = s.tick + joinTicks
	if _, isMember := m.core.Raft().Membership().Member(m.identity); isMember && m.core.Raft().Leader() != consensus.None {
		m.lastMemberAt = s.tick
		return
	}
	addresses := s.contacts(m)
	if s.tick-m.lastMemberAt > standbyDelayTicks {
		m.nextJoinAt = s.tick + standbyJoinTicks
		addresses = addressInTurn(addresses, m.joinRound)
	}
	m.joinRound++
	for _, address := range addresses {
		s.inbox = append(s.inbox, Outgoing{Address: address, Message: protocol.Message{
			From: m.address, Join: &protocol.Join{ID: m.identity, Address: m.address},
		}})
	}
}

// advanceTick advances the simulation by one tick and delivers all messages.
func (s *simulation) advanceTick() {
	s.tick++
	for _, m := range s.machines {
		s.endFaults(m)
	}
	for _, position := range s.random.Perm(len(s.machines)) {
		s.tickMachine(s.machines[position])
	}
	for len(s.inbox) > 0 {
		batch := s.inbox
		s.inbox = nil
		for _, message := range batch {
			s.deliver(message)
		}
	}
	for _, m := range s.machines {
		if m.isRunning(s.tick) && m.core.Serving() {
			s.nextID++
			s.proposals[s.nextID] = s.nextID
			m.core.Propose(s.nextID, binary.BigEndian.AppendUint64(nil, s.nextID))
			s.flush(m.process)
		}
	}
	s.reportMembers()
}

func (s *simulation) reportMembers() {
	leader := s.servingLeader()
	if leader == nil || !leader.core.Raft().MembershipCommitted() {
		return
	}
	s.reportedMembers = nil
	for _, member := range leader.core.Raft().Membership().Members {
		s.reportedMembers = append(s.reportedMembers, member.Address)
	}
}

// endFaults restarts, resumes or reconnects the machine when its faults end.
func (s *simulation) endFaults(m *machine) {
	if m.replaced {
		return
	}
	if m.core == nil && s.tick >= m.downUntil {
		s.boot(m)
		s.markRecovering(m, "restarted")
	}
	if m.core != nil && s.tick == m.cutUntil {
		s.delayLinks(m)
		s.markRecovering(m, "reconnected")
	}
	if m.core != nil && s.tick == m.stalledUntil {
		queued := m.queued
		m.queued, m.missedTicks = nil, 2*electionTicks
		for _, message := range queued {
			m.core.Receive(message)
		}
		s.flush(m.process)
		s.markRecovering(m, "resumed")
	}
}

func (s *simulation) markRecovering(m *machine, event string) {
	m.lostUntil = max(m.lostUntil, s.tick+catchUpTicks)
	s.logf("%s %s as %d", m.address, event, m.identity)
}

// tickMachine advances the machine's core, unless the tick is late and is caught up later.
func (s *simulation) tickMachine(m *machine) {
	if !m.isRunning(s.tick) {
		return
	}
	m.missedTicks++
	if s.random.Float64() < s.lateTickProbability {
		return
	}
	for range min(m.missedTicks, 2*electionTicks) {
		m.core.Tick()
	}
	m.missedTicks = 0
	s.requestAdmission(m)
	s.flush(m.process)
}

func (s *simulation) deliver(message Outgoing) {
	from, to := s.byAddress[message.Message.From], s.byAddress[message.Address]
	if to == nil || to.core == nil || s.isBlocked(from, to) || s.random.Float64() < s.messageLossProbability {
		return
	}
	if !to.isRunning(s.tick) {
		if len(to.queued) < maxQueuedMessages {
			to.queued = append(to.queued, message.Message)
		}
		return
	}
	to.core.Receive(message.Message)
	s.flush(to.process)
}

// servingLeader returns the serving leader with the highest term that is not partitioned.
func (s *simulation) servingLeader() *machine {
	var newest *machine
	for _, m := range s.machines {
		if m.isRunning(s.tick) && m.core.Serving() && s.tick >= m.cutUntil &&
			(newest == nil || m.core.Raft().Term() > newest.core.Raft().Term()) {
			newest = m
		}
	}
	return newest
}

// run advances the simulation and checks the group's guarantees in each tick.
func (s *simulation) run(ticks int) {
	for range ticks {
		s.advanceTick()
		lostCount := s.lostCount()
		if lostCount > s.tolerance {
			s.exceededAt = s.tick
		}
		recovering := s.exceededAt > 0 && s.tick-s.exceededAt < recoveryTicks
		leader := s.servingLeader()
		s.leaderlessTicks++
		if leader != nil || recovering {
			s.leaderlessTicks = 0
		}
		if s.leaderlessTicks > maxLeaderlessTicks {
			s.failf("there has been no leader for too long")
		}
		if leader != nil && lostCount == 0 && !recovering {
			s.checkVoters(leader)
		}
	}
	if leader := s.servingLeader(); leader != nil {
		s.checkAcknowledged(leader)
	}
}

func (s *simulation) checkAcknowledged(leader *machine) {
	stored := map[uint64]bool{}
	for _, number := range leader.machine.list {
		stored[number] = true
	}
	for _, number := range s.acknowledged {
		if !stored[number] {
			s.failf("acknowledged number %d is lost", number)
		}
	}
}

// checkVoters requires that the group has the target number of voters and that none of them is lost.
func (s *simulation) checkVoters(leader *machine) {
	alive := 0
	for _, member := range leader.core.Raft().Membership().Members {
		if m := s.byAddress[member.Address]; member.Voter && !m.replaced && m.identity == member.ID {
			alive++
		}
	}
	if voters := leader.core.Raft().Membership().Voters(); alive != s.voters || voters != s.voters {
		s.failf("of %d voters, %d are alive; expected %d", voters, alive, s.voters)
	}
}

// pickRunning returns machines that are not lost. It prefers the leader.
func (s *simulation) pickRunning(count int) []*machine {
	var available []*machine
	for _, position := range s.random.Perm(len(s.machines)) {
		if m := s.machines[position]; !m.replaced && !m.isLost(s.tick) && len(available) < count {
			available = append(available, m)
		}
	}
	leader := s.servingLeader()
	if leader != nil && !leader.isLost(s.tick) && len(available) > 0 && s.random.IntN(3) == 0 && !slices.Contains(available, leader) {
		available[0] = leader
	}
	return available
}

// injectFaults starts faults within the tolerated losses. Only a power outage stops more machines, which
// keep their disks.
func (s *simulation) injectFaults() {
	allowed := s.tolerance - s.lostCount()
	kind := s.random.IntN(10)
	switch {
	case kind == 0:
		s.changeSeeds()
	case kind == 1 && allowed >= 0:
		s.wipeLostMachines()
	case allowed > 0:
		chosen := s.pickRunning(1 + s.random.IntN(allowed))
		group := s.random.Int()
		duration := []int{5, 20, 40, 100, 160, 300}[s.random.IntN(6)] + s.random.IntN(20)
		for _, m := range chosen {
			s.injectFault(m, kind, duration, group)
		}
		if kind == 2 && s.random.IntN(3) == 0 {
			s.powerOutage()
		}
	}
}

// injectFault starts one fault of a machine.
func (s *simulation) injectFault(m *machine, kind, duration, group int) {
	s.logf("%s: fault %d for %d ticks", m.address, kind, duration)
	switch kind {
	case 2, 3, 4:
		s.wipeDisk(m, 10+s.random.IntN(60))
	case 5:
		m.core, m.downUntil = nil, s.tick+duration
	case 6:
		m.stalledUntil = s.tick + duration
	case 7:
		m.cutUntil, m.cutGroup, m.cutMode = s.tick+duration, group, cutMode(s.random.IntN(3))
	case 8:
		m.core.TransferLeadership()
		s.flush(m.process)
		m.core, m.downUntil = nil, s.tick+2+s.random.IntN(40)
	case 9:
		s.replaceMachine(m, 20+s.random.IntN(20))
	}
}

// wipeDisk stops the machine and deletes its disk.
func (s *simulation) wipeDisk(m *machine, duration int) {
	s.identity++
	*m.process = process{address: m.address, identity: s.identity}
	m.downUntil, m.stalledUntil = s.tick+duration, 0
}

// wipeLostMachines deletes the disks of some machines that already count as lost.
func (s *simulation) wipeLostMachines() {
	for _, m := range s.machines {
		if m.isLost(s.tick) && m.core != nil && s.random.IntN(2) == 0 {
			s.logf("%s loses its disk", m.address)
			s.wipeDisk(m, 10+s.random.IntN(50))
		}
	}
}

func (s *simulation) powerOutage() {
	s.logf("power outage")
	for _, m := range s.machines {
		if !m.replaced && m.core != nil {
			m.core, m.downUntil = nil, s.tick+40+s.random.IntN(60)
		}
	}
}

// replaceMachine replaces the machine by an empty one at another address, and updates the settings.
func (s *simulation) replaceMachine(m *machine, delay int) {
	s.identity++
	added := &machine{
		process:   &process{address: fmt.Sprintf("m%d", len(s.machines)), identity: s.identity},
		downUntil: s.tick + delay,
	}
	s.machines = append(s.machines, added)
	s.byAddress[added.address] = added
	m.replaced, m.core = true, nil
	if position := slices.Index(s.seeds, m.address); position >= 0 {
		s.seeds = slices.Clone(s.seeds)
		s.seeds[position] = added.address
	}
	s.logf("%s replaces %s", added.address, m.address)
}

func (s *simulation) changeSeeds() {
	s.seeds = nil
	for _, position := range s.random.Perm(len(s.machines)) {
		if m := s.machines[position]; !m.replaced && len(s.seeds) < seedCount {
			s.seeds = append(s.seeds, m.address)
		}
	}
	s.logf("the settings name %v", s.seeds)
}

// TestGroupSurvivesToleratedFaults injects disk losses, crashes, stalls, partitions, shutdowns and
// replacements, never more at once than the group tolerates. A leader is always elected soon, no acknowledged
// command is lost, and all voters are present once no machine is lost.
func TestGroupSurvivesToleratedFaults(t *testing.T) {
	const (
		rounds     = 25
		finalTicks = 700
	)
	for _, group := range []struct {
		size, tolerance int
		ledger          bool
	}{{3, 1, false}, {4, 1, false}, {5, 2, false}, {6, 2, false}, {7, 2, false}, {6, 1, true}, {11, 2, true}} {
		t.Run(fmt.Sprintf("%+v", group), func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSimulation(t, seed, group.size, group.tolerance, group.ledger)
				for range recoveryTicks {
					s.advanceTick()
				}
				for range rounds {
					s.run([]int{0, 3, 10, 40, 90, 200}[s.random.IntN(6)])
					s.injectFaults()
				}
				s.run(finalTicks)
			}
		})
	}
}
