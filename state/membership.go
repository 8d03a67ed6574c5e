package state

import (
	"maps"
	"slices"
)

// RegisterNode adds a node or replaces its earlier incarnation.
type RegisterNode struct {
	ID          string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// RegisterResult carries the registration's epoch.
type RegisterResult struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// ExpireNode takes out a node whose lease has ended.
type ExpireNode struct {
	ID    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// DrainNode marks a node as draining or takes the mark back.
type DrainNode struct {
	ID       string `cbor:"1,keyasint"`
	Draining bool   `cbor:"2,keyasint"`
}

func (m *Machine) registerNode(command *RegisterNode) *RegisterResult {
	earlier := m.Catalog.Nodes[command.ID]
	if earlier != nil && earlier.Incarnation == command.Incarnation {
		return &RegisterResult{Epoch: earlier.Epoch}
	}
	if earlier != nil {
		m.removeNode(earlier)
	}
	m.Epochs++
	m.Catalog.Nodes[command.ID] = &Node{
		Revision: m.touch(KindNode, command.ID), ID: command.ID,
		Zone: command.Zone, Region: command.Region, Address: command.Address,
		Incarnation: command.Incarnation, Epoch: m.Epochs,
	}
	return &RegisterResult{Epoch: m.Epochs}
}

func (m *Machine) expireNode(command *ExpireNode) bool {
	node := m.Catalog.Nodes[command.ID]
	if node == nil || node.Epoch != command.Epoch {
		return false
	}
	m.removeNode(node)
	return true
}

// removeNode takes out the node and all that depends on its registration: its
// engines have no owner, its samples wait again, and the outcome of its claims
// is unknown from now on.
func (m *Machine) removeNode(node *Node) {
	delete(m.Catalog.Nodes, node.ID)
	m.touchLeaving(KindNode, node.ID, node.Region)
	for _, id := range slices.Sorted(maps.Keys(m.Catalog.Engines)) {
		if engine := m.Catalog.Engines[id]; engine.Owner == node.ID {
			m.setOwner(engine, "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Ledgers)) {
		m.Ledgers[name].releaseNode(node.ID, node.Epoch)
	}
	for _, claim := range m.Claims {
		if claim.Claim.Node == node.ID && claim.Claim.Epoch == node.Epoch && claim.State == ClaimRunning {
			claim.State = ClaimUnknown
		}
	}
}

func (m *Machine) drainNode(command *DrainNode) bool {
	node := m.Catalog.Nodes[command.ID]
	if node == nil {
		return false
	}
	if node.Draining != command.Draining {
		changed := *node
		changed.Draining = command.Draining
		changed.Revision = m.touch(KindNode, node.ID)
		m.Catalog.Nodes[node.ID] = &changed
	}
	return true
}
