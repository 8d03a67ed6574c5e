package simulate

import (
	"maps"
	"slices"
)

import "github.com/dillchute/dillchute/bench/oracle"

// FaultKind is a kind of fault that a run injects.
type FaultKind string

// The kinds of faults.
const (
	// KillControl kills a replica and starts it again; KillLeader the leader.
	KillControl FaultKind = "kill-control"
	KillLeader  FaultKind = "kill-leader"
	// FreezeLeader stops the leader for long and lets it go on.
	FreezeLeader FaultKind = "freeze-leader"
	// SuspendLeader and SuspendNode suspend a machine: timers stand still, too.
	SuspendLeader FaultKind = "suspend-leader"
	SuspendNode   FaultKind = "suspend-node"
	// LosePower takes the power of all machines at once, and a disk with it; they come back one
	// by one in any order.
	LosePower FaultKind = "lose-power"
	// LoseDisk takes a replica's disk; it comes back under a new identity.
	LoseDisk FaultKind = "lose-disk"
	// LoseTwoDisks loses a second disk right after the first was replaced.
	LoseTwoDisks FaultKind = "lose-two-disks"
	// CutZone cuts a zone off from the others; CutOneWay in one direction.
	CutZone   FaultKind = "cut-zone"
	CutOneWay FaultKind = "cut-one-way"
	// CutLeader cuts only the leader off, which goes on believing.
	CutLeader FaultKind = "cut-leader"
	// Noise loses, repeats and delays messages.
	Noise FaultKind = "noise"
	// KillNode kills a node; FreezeNode stops it for long; StopNode stops it as planned.
	KillNode   FaultKind = "kill-node"
	FreezeNode FaultKind = "freeze-node"
	StopNode   FaultKind = "stop-node"
	// KillEngine and FreezeEngine do so to an engine; FailSwaps makes loads
	// of weights fail partway for a while.
	KillEngine   FaultKind = "kill-engine"
	FreezeEngine FaultKind = "freeze-engine"
	FailSwaps    FaultKind = "fail-swaps"
	// LeaveEngine lists an engine as leaving, with the platform's lag.
	LeaveEngine FaultKind = "leave-engine"
	// KillTrainer kills the trainer in the middle of a step.
	KillTrainer FaultKind = "kill-trainer"
)

// platformLagMillis is how late the platform's list shows a change.
const platformLagMillis = 1500

// inject carries out a fault that heals after the duration.
func (cl *cluster) inject(kind FaultKind, duration int64) {
	switch kind {
	case KillControl:
		cl.killControl(kind, cl.pickControl(), duration)
	case KillLeader:
		cl.timeFailover(cl.leader().core.Raft().Term())
		cl.killControl(kind, cl.leader(), duration)
	case FreezeLeader:
		cl.timeFailover(cl.leader().core.Raft().Term())
		cl.freeze(kind, cl.leader().process, duration)
	case SuspendLeader:
		cl.timeFailover(cl.leader().core.Raft().Term())
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
		cl.cutProcess(cl.leader().process, duration)
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

// leader returns the leader of the highest term, or any replica without one.
func (cl *cluster) leader() *controlProcess {
	var leader *controlProcess
	for _, replica := range cl.controls {
		if replica.leads() && (leader == nil || replica.core.Raft().Term() > leader.core.Raft().Term()) {
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
	cl.world.fault(string(kind), "%s for %d", target.name, duration)
	target.kill()
	cl.world.schedule(duration, func() { cl.restartControl(target) })
}

func (cl *cluster) restartControl(target *controlProcess) {
	if target.alive {
		return
	}
	cl.world.note("%s starts", target.name)
	target.start()
	if target.joining {
		target.join()
	}
}

func (cl *cluster) freeze(kind FaultKind, target *process, duration int64) {
	cl.stopFor(kind, target, duration, target.freeze)
}

func (cl *cluster) suspend(kind FaultKind, target *process, duration int64) {
	cl.stopFor(kind, target, duration, target.suspend)
}

// stopFor has a process that runs stand still for the duration.
func (cl *cluster) stopFor(kind FaultKind, target *process, duration int64, stop func()) {
	if !target.alive || target.frozen {
		return
	}
	cl.world.fault(string(kind), "%s for %d", target.name, duration)
	stop()
	life := target.life
	cl.world.schedule(duration, func() {
		if target.life == life && target.alive {
			cl.world.note("%s thaws", target.name)
			target.thaw()
		}
	})
}

// mayLoseDisk tells whether the group survives the loss of the replica's disk:
// an earlier loss is repaired, which means that the lost voter is out of the
// group, and all voters are up to date.
func (cl *cluster) mayLoseDisk(target *controlProcess) bool {
	leader := cl.leader()
	if !leader.leads() || !target.alive || !leader.core.Raft().MembershipCommitted() {
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
	return voters == len(cl.controls) && upToDate == voters && len(cl.world.network.cuts) == 0
}

func (cl *cluster) loseDisk(target *controlProcess, duration int64) {
	if !cl.mayLoseDisk(target) {
		return
	}
	cl.world.fault(string(LoseDisk), "%s for %d", target.name, duration)
	target.wipe()
	cl.world.schedule(duration, func() { cl.restartControl(target) })
}

// losePower ends all replicas, nodes and engines at the same moment, and loses a replica's disk
// if that may be. Each comes back at a time of its own.
func (cl *cluster) losePower(duration int64) {
	lost := cl.pickControl()
	mayLose := cl.mayLoseDisk(lost)
	cl.world.fault(string(LosePower), "for %d, disk of %s: %t", duration, lost.name, mayLose)
	for _, replica := range cl.controls {
		switch {
		case replica == lost && mayLose:
			replica.wipe()
		case replica.alive:
			replica.kill()
		}
		cl.world.schedule(cl.world.between(1, duration), func() { cl.restartControl(replica) })
	}
	for _, target := range cl.nodes {
		if target.alive {
			target.death()
		}
		cl.restartNode(target, cl.world.between(1, duration))
	}
	for _, target := range cl.engines {
		if target.alive {
			target.kill()
		}
		cl.world.schedule(cl.world.between(1, duration), func() {
			if !target.alive {
				target.start()
			}
		})
	}
}

// loseTwoDisks loses a disk and, as soon as the group is whole again, another.
func (cl *cluster) loseTwoDisks(duration int64) {
	first := cl.pickControl()
	if !cl.mayLoseDisk(first) {
		return
	}
	cl.loseDisk(first, min(duration, 2000))
	tries := 0
	var second func()
	second = func() {
		tries++
		other := cl.pickControl()
		if other != first && cl.mayLoseDisk(other) {
			cl.world.faults[string(LoseTwoDisks)]++
			cl.loseDisk(other, min(duration, 2000))
			return
		}
		if tries < 300 {
			cl.world.schedule(100, second)
		}
	}
	cl.world.schedule(1000, second)
}

func (cl *cluster) addCut(from, to string, duration int64) {
	pair := [2]string{from, to}
	cl.world.network.cuts[pair] = true
	cl.world.schedule(duration, func() { delete(cl.world.network.cuts, pair) })
}

func (cl *cluster) cutZone(duration int64, bothWays bool) {
	zone := cl.zone(cl.world.random.IntN(len(cl.topology.Zones)))
	kind := CutOneWay
	if bothWays {
		kind = CutZone
	}
	cl.world.fault(string(kind), "%s for %d", zone, duration)
	outwards := cl.world.percent(50)
	for _, other := range cl.topology.Zones {
		if other == zone {
			continue
		}
		if bothWays || outwards {
			cl.addCut(zone, other, duration)
		}
		if bothWays || !outwards {
			cl.addCut(other, zone, duration)
		}
	}
}

func (cl *cluster) cutProcess(target *process, duration int64) {
	cl.world.fault(string(CutLeader), "%s for %d", target.name, duration)
	for _, name := range slices.Sorted(maps.Keys(cl.processes)) {
		if name != target.name {
			cl.addCut(target.name, name, duration)
			cl.addCut(name, target.name, duration)
		}
	}
}

func (cl *cluster) noise(duration int64) {
	network := &cl.world.network
	if network.lossPercent > 0 {
		return
	}
	cl.world.fault(string(Noise), "for %d", duration)
	jitter := network.jitterMillis
	network.lossPercent, network.dupPercent, network.jitterMillis = 10, 10, 150
	cl.world.schedule(duration, func() {
		network.lossPercent, network.dupPercent, network.jitterMillis = 0, 0, jitter
	})
}

func (cl *cluster) killNode(duration int64) {
	target := cl.pickNode()
	if !target.alive {
		return
	}
	cl.world.fault(string(KillNode), "%s for %d", target.name, duration)
	target.death()
	cl.restartNode(target, duration)
}

func (cl *cluster) restartNode(target *nodeProcess, delay int64) {
	cl.world.schedule(delay, func() {
		if !target.alive {
			cl.world.note("%s starts", target.name)
			target.start()
		}
	})
}

// stopNode stops a node as planned and starts it again once it has ended.
func (cl *cluster) stopNode(duration int64) {
	target := cl.pickNode()
	if !target.alive || target.frozen || target.draining {
		return
	}
	cl.world.fault(string(StopNode), "%s", target.name)
	target.drain()
	var await func()
	await = func() {
		if target.alive {
			cl.world.schedule(200, await)
			return
		}
		cl.restartNode(target, duration)
	}
	await()
}

func (cl *cluster) killEngine(duration int64) {
	target := cl.pickEngine()
	if !target.alive {
		return
	}
	cl.world.fault(string(KillEngine), "%s for %d", target.name, duration)
	target.kill()
	cl.world.schedule(duration, func() {
		if !target.alive {
			target.start()
		}
	})
}

func (cl *cluster) failSwaps(duration int64) {
	cl.world.fault(string(FailSwaps), "for %d", duration)
	for _, target := range cl.engines {
		target.failPercent = 50
	}
	cl.world.schedule(duration, func() {
		for _, target := range cl.engines {
			target.failPercent = 0
		}
	})
}

// leaveEngine marks an engine as leaving at the platform, which shows it late,
// and takes the mark back later.
func (cl *cluster) leaveEngine(duration int64) {
	position := cl.world.random.IntN(len(cl.listed))
	if cl.listed[position].Listed {
		return
	}
	name := cl.listed[position].ID
	cl.world.fault(string(LeaveEngine), "%s for %d", name, duration)
	cl.world.schedule(platformLagMillis, func() {
		cl.listed[position].Listed = true
		cl.tellEngine(name, true)
		cl.world.record(oracle.Event{Leaving: &oracle.Leaving{Engine: name, Leaving: true}})
	})
	cl.world.schedule(platformLagMillis+duration, func() {
		cl.listed[position].Listed = false
		cl.tellEngine(name, false)
		cl.world.record(oracle.Event{Leaving: &oracle.Leaving{Engine: name, Leaving: false}})
	})
}

// tellEngine lets the engine itself know, as the platform's signal does.
func (cl *cluster) tellEngine(name string, leaving bool) {
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
	cl.world.fault(string(KillTrainer), "for %d", duration)
	target.death()
	cl.world.schedule(duration, target.start)
}
