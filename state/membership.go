package state

import (
	"maps"
	"slices"
)

// RegisterNode adds a node or replaces an earlier incarnation of it.
type RegisterNode struct {
	ID          string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
}

// RegisterResult holds the epoch of the registration.
type RegisterResult struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// ExpireNode removes a node whose lease has ended.
type ExpireNode struct {
	ID    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// DrainNode sets or clears a node's draining flag.
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
		Revision: m.recordChange(KindNode, command.ID), ID: command.ID,
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

// removeNode removes the node. Its engines lose their owner, its samples become
// pending again, and its running claims become unknown.
func (m *Machine) removeNode(node *Node) {
	delete(m.Catalog.Nodes, node.ID)
	m.recordChangeFrom(KindNode, node.ID, node.Region)
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
		changed.Revision = m.recordChange(KindNode, node.ID)
		m.Catalog.Nodes[node.ID] = &changed
	}
	return true
}
