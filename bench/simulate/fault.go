package simulate

import (
	"maps"
	"slices"
)

import "github.com/dillchute/dillchute/bench/oracle"

// FaultKind names a kind of fault to inject.
type FaultKind string

// The kinds of faults.
const (
	// KillControl crashes and restarts a random control replica; KillLeader does so to the leader.
	KillControl FaultKind = "kill-control"
	KillLeader  FaultKind = "kill-leader"
	// FreezeLeader stalls the leader's process for a while.
	FreezeLeader FaultKind = "freeze-leader"
	// SuspendLeader and SuspendNode suspend the machine of a process, which also stops its timers.
	SuspendLeader FaultKind = "suspend-leader"
	SuspendNode   FaultKind = "suspend-node"
	// LosePower crashes all replicas, nodes and engines at once and may wipe one replica's disk.
	// They restart in random order.
	LosePower FaultKind = "lose-power"
	// LoseDisk wipes a replica's disk; the replica restarts under a new identity.
	LoseDisk FaultKind = "lose-disk"
	// LoseTwoDisks wipes a second disk as soon as the first replica has been replaced.
	LoseTwoDisks FaultKind = "lose-two-disks"
	// CutZone partitions a zone from the others; CutOneWay does so in one direction only.
	CutZone   FaultKind = "cut-zone"
	CutOneWay FaultKind = "cut-one-way"
	// CutLeader partitions the leader from all other processes; it keeps running.
	CutLeader FaultKind = "cut-leader"
	// Noise drops, duplicates and delays messages.
	Noise FaultKind = "noise"
	// KillNode crashes a node; FreezeNode stalls its process; StopNode shuts it down gracefully.
	KillNode   FaultKind = "kill-node"
	FreezeNode FaultKind = "freeze-node"
	StopNode   FaultKind = "stop-node"
	// KillEngine crashes an engine; FreezeEngine stalls its process; FailSwaps makes weight loads
	// fail at random.
	KillEngine   FaultKind = "kill-engine"
	FreezeEngine FaultKind = "freeze-engine"
	FailSwaps    FaultKind = "fail-swaps"
	// LeaveEngine marks an engine as leaving in the platform's list, after its lag.
	LeaveEngine FaultKind = "leave-engine"
	// KillTrainer crashes and restarts the trainer.
	KillTrainer FaultKind = "kill-trainer"
)

// platformLagMillis is the delay until the platform's list shows a change.
const platformLagMillis = 1500

// inject injects a fault, most kinds of which end after the duration.
func (cl *cluster) inject(kind FaultKind, duration int64) {
	switch kind {
	case KillControl:
		cl.killControl(kind, cl.pickControl(), duration)
	case KillLeader:
		cl.measureFailover(cl.leader().core.Raft().Term())
		cl.killControl(kind, cl.leader(), duration)
	case FreezeLeader:
		cl.measureFailover(cl.leader().core.Raft().Term())
		cl.freeze(kind, cl.leader().process, duration)
	case SuspendLeader:
		cl.measureFailover(cl.leader().core.Raft().Term())
		cl.suspend(kind, cl.leader().process, duration)
	case SuspendNode:
		cl.suspend(kind, cl.pickNode().process, duration)
	case LosePower:
		cl.losePower(duration)
	case LoseDisk:
		cl.loseDisk(cl.pickControl(), duration)
	case LoseTwoDisks:
		cl.loseTwoDisks(duration)
	case CutZone:
		cl.cutZone(duration, true)
	case CutOneWay:
		cl.cutZone(duration, false)
	case CutLeader:
		cl.isolateProcess(cl.leader().process, duration)
	case Noise:
		cl.noise(duration)
	case KillNode:
		cl.killNode(duration)
	case FreezeNode:
		cl.freeze(kind, cl.pickNode().process, duration)
	case StopNode:
		cl.stopNode(duration)
	case KillEngine:
		cl.killEngine(duration)
	case FreezeEngine:
		cl.freeze(kind, cl.pickEngine().process, duration)
	case FailSwaps:
		cl.failSwaps(duration)
	case LeaveEngine:
		cl.leaveEngine(duration)
	case KillTrainer:
		cl.killTrainer(duration)
	}
}

func (cl *cluster) pickControl() *controlProcess {
	return cl.controls[cl.world.random.IntN(len(cl.controls))]
}

func (cl *cluster) pickNode() *nodeProcess { return cl.nodes[cl.world.random.IntN(len(cl.nodes))] }

func (cl *cluster) pickEngine() *engineProcess {
	return cl.engines[cl.world.random.IntN(len(cl.engines))]
}

// leader returns the leader of the highest term, or a random replica if there is no leader.
func (cl *cluster) leader() *controlProcess {
	var leader *controlProcess
	for _, replica := range cl.controls {
		if replica.isLeader() && (leader == nil || replica.core.Raft().Term() > leader.core.Raft().Term()) {
			leader = replica
		}
	}
	if leader == nil {
		return cl.pickControl()
	}
	return leader
}

func (cl *cluster) killControl(kind FaultKind, target *controlProcess, duration int64) {
	if !target.alive {
		return
	}
	cl.world.recordFault(string(kind), "%s for %d", target.name, duration)
	target.kill()
	cl.world.schedule(duration, func() { cl.restartControl(target) })
}

func (cl *cluster) restartControl(target *controlProcess) {
	if target.alive {
		return
	}
	cl.world.tracef("%s starts", target.name)
	target.start()
	if target.joining {
		target.join()
	}
}

func (cl *cluster) freeze(kind FaultKind, target *process, duration int64) {
	cl.pauseProcess(kind, target, duration, target.freeze)
}

func (cl *cluster) suspend(kind FaultKind, target *process, duration int64) {
	cl.pauseProcess(kind, target, duration, target.suspend)
}

// pauseProcess stops a running process with the given function and resumes it after the duration.
func (cl *cluster) pauseProcess(kind FaultKind, target *process, duration int64, stop func()) {
	if !target.alive || target.frozen {
		return
	}
	cl.world.recordFault(string(kind), "%s for %d", target.name, duration)
	stop()
	incarnation := target.incarnation
	cl.world.schedule(duration, func() {
		if target.incarnation == incarnation && target.alive {
			cl.world.tracef("%s resumes", target.name)
			target.resume()
		}
	})
}

// canLoseDisk reports whether the group survives the loss of the replica's disk: earlier losses
// are repaired, all voters are up to date and reachable, and no other replica is down.
func (cl *cluster) canLoseDisk(target *controlProcess) bool {
	leader := cl.leader()
	if !leader.isLeader() || !target.alive || !leader.core.Raft().MembershipCommitted() {
		return false
	}
	voters, upToDate := 0, 0
	for _, member := range leader.core.Raft().Membership().Members {
		match, _ := leader.core.Raft().Match(member.ID)
		if member.Voter {
			voters++
		}
		if member.Voter && match >= leader.core.Raft().Commit() {
			upToDate++
		}
	}
	for _, replica := range cl.controls {
		if replica != target && (!replica.alive || replica.frozen || replica.joining) {
			return false
		}
	}
	return voters == len(cl.controls) && upToDate == voters && len(cl.world.network.blockedPairs) == 0
}

func (cl *cluster) loseDisk(target *controlProcess, duration int64) {
	if !cl.canLoseDisk(target) {
		return
	}
	cl.world.recordFault(string(LoseDisk), "%s for %d", target.name, duration)
	target.wipeDisk()
	cl.world.schedule(duration, func() { cl.restartControl(target) })
}

// losePower crashes all replicas, nodes and engines at once, and wipes one replica's disk if the
// group survives that. Each process restarts at a random time.
func (cl *cluster) losePower(duration int64) {
	lost := cl.pickControl()
	canLose := cl.canLoseDisk(lost)
	cl.world.recordFault(string(LosePower), "for %d, disk of %s: %t", duration, lost.name, canLose)
	for _, replica := range cl.controls {
		switch {
		case replica == lost && canLose:
			replica.wipeDisk()
		case replica.alive:
			replica.kill()
		}
		cl.world.schedule(cl.world.randomBetween(1, duration), func() { cl.restartControl(replica) })
	}
	for _, target := range cl.nodes {
		if target.alive {
			target.markStopped()
		}
		cl.restartNode(target, cl.world.randomBetween(1, duration))
	}
	for _, target := range cl.engines {
		if target.alive {
			target.kill()
		}
		cl.world.schedule(cl.world.randomBetween(1, duration), func() {
			if !target.alive {
				target.start()
			}
		})
	}
}

// loseTwoDisks wipes a disk and, as soon as the group has recovered, the disk of another replica.
func (cl *cluster) loseTwoDisks(duration int64) {
	first := cl.pickControl()
	if !cl.canLoseDisk(first) {
		return
	}
	cl.loseDisk(first, min(duration, 2000))
	attempts := 0
	var loseSecond func()
	loseSecond = func() {
		attempts++
		other := cl.pickControl()
		if other != first && cl.canLoseDisk(other) {
			cl.world.faults[string(LoseTwoDisks)]++
			cl.loseDisk(other, min(duration, 2000))
			return
		}
		if attempts < 300 {
			cl.world.schedule(100, loseSecond)
		}
	}
	cl.world.schedule(1000, loseSecond)
}

func (cl *cluster) blockPair(from, to string, duration int64) {
	pair := [2]string{from, to}
	cl.world.network.blockedPairs[pair] = true
	cl.world.schedule(duration, func() { delete(cl.world.network.blockedPairs, pair) })
}

func (cl *cluster) cutZone(duration int64, bothWays bool) {
	zone := cl.zone(cl.world.random.IntN(len(cl.topology.Zones)))
	kind := CutOneWay
	if bothWays {
		kind = CutZone
	}
	cl.world.recordFault(string(kind), "%s for %d", zone, duration)
	outbound := cl.world.randomPercent(50)
	for _, other := range cl.topology.Zones {
		if other == zone {
			continue
		}
		if bothWays || outbound {
			cl.blockPair(zone, other, duration)
		}
		if bothWays || !outbound {
			cl.blockPair(other, zone, duration)
		}
	}
}

func (cl *cluster) isolateProcess(target *process, duration int64) {
	cl.world.recordFault(string(CutLeader), "%s for %d", target.name, duration)
	for _, name := range slices.Sorted(maps.Keys(cl.processes)) {
		if name != target.name {
			cl.blockPair(target.name, name, duration)
			cl.blockPair(name, target.name, duration)
		}
	}
}

func (cl *cluster) noise(duration int64) {
	network := &cl.world.network
	if network.lossPercent > 0 {
		return
	}
	cl.world.recordFault(string(Noise), "for %d", duration)
	jitter := network.jitterMillis
	network.lossPercent, network.duplicatePercent, network.jitterMillis = 10, 10, 150
	cl.world.schedule(duration, func() {
		network.lossPercent, network.duplicatePercent, network.jitterMillis = 0, 0, jitter
	})
}

func (cl *cluster) killNode(duration int64) {
	target := cl.pickNode()
	if !target.alive {
		return
	}
	cl.world.recordFault(string(KillNode), "%s for %d", target.name, duration)
	target.markStopped()
	cl.restartNode(target, duration)
}

func (cl *cluster) restartNode(target *nodeProcess, delay int64) {
	cl.world.schedule(delay, func() {
		if !target.alive {
			cl.world.tracef("%s starts", target.name)
			target.start()
		}
	})
}

// stopNode shuts a node down gracefully and restarts it after its exit.
func (cl *cluster) stopNode(duration int64) {
	target := cl.pickNode()
	if !target.alive || target.frozen || target.draining {
		return
	}
	cl.world.recordFault(string(StopNode), "%s", target.name)
	target.drain()
	var awaitExit func()
	awaitExit = func() {
		if target.alive {
			cl.world.schedule(200, awaitExit)
			return
		}
		cl.restartNode(target, duration)
	}
	awaitExit()
}

func (cl *cluster) killEngine(duration int64) {
	target := cl.pickEngine()
	if !target.alive {
		return
	}
	cl.world.recordFault(string(KillEngine), "%s for %d", target.name, duration)
	target.kill()
	cl.world.schedule(duration, func() {
		if !target.alive {
			target.start()
		}
	})
}

func (cl *cluster) failSwaps(duration int64) {
	cl.world.recordFault(string(FailSwaps), "for %d", duration)
	for _, target := range cl.engines {
		target.loadFailPercent = 50
	}
	cl.world.schedule(duration, func() {
		for _, target := range cl.engines {
			target.loadFailPercent = 0
		}
	})
}

// leaveEngine marks an engine as leaving in the platform's list after its lag, and removes the mark
// after the duration.
func (cl *cluster) leaveEngine(duration int64) {
	position := cl.world.random.IntN(len(cl.listedEngines))
	if cl.listedEngines[position].Listed {
		return
	}
	name := cl.listedEngines[position].ID
	cl.world.recordFault(string(LeaveEngine), "%s for %d", name, duration)
	cl.world.schedule(platformLagMillis, func() {
		cl.listedEngines[position].Listed = true
		cl.notifyEngine(name, true)
		cl.world.record(oracle.Event{Leaving: &oracle.Leaving{Engine: name, Leaving: true}})
	})
	cl.world.schedule(platformLagMillis+duration, func() {
		cl.listedEngines[position].Listed = false
		cl.notifyEngine(name, false)
		cl.world.record(oracle.Event{Leaving: &oracle.Leaving{Engine: name, Leaving: false}})
	})
}

// notifyEngine notifies the engine that it is leaving or in service again, as the platform's signal does.
func (cl *cluster) notifyEngine(name string, leaving bool) {
	target := cl.engineByName[name]
	if !cl.load.EnginesReport {
		return
	}
	target.leaving = leaving
	if target.alive {
		target.engine.SetLeaving(leaving)
	}
}

func (cl *cluster) killTrainer(duration int64) {
	target := cl.trainer
	if !target.alive || target.finished {
		return
	}
	cl.world.recordFault(string(KillTrainer), "for %d", duration)
	target.markStopped()
	cl.world.schedule(duration, target.start)
}
