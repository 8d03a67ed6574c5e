package state

// SyncEngines brings the engines to what the platform lists.
type SyncEngines struct {
	// Listed are engines that are new or have changed; owner and epoch are ignored.
	Listed  []Engine `cbor:"1,keyasint"`
	Removed []string `cbor:"2,keyasint"`
}

// SetOwners gives engines to nodes.
type SetOwners struct {
	Grants []OwnerGrant `cbor:"1,keyasint"`
}

// OwnerGrant gives an engine to a node, provided that the engine still has the
// epoch and the node the registration that the leader saw.
type OwnerGrant struct {
	Engine      string `cbor:"1,keyasint"`
	EngineEpoch uint64 `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	NodeEpoch   uint64 `cbor:"4,keyasint"`
}

// DrainEngine marks an engine as leaving by an operator's order.
type DrainEngine struct {
	ID      string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint"`
}

func (m *Machine) syncEngines(command *SyncEngines) {
	for _, listed := range command.Listed {
		engine, left := listed, ""
		earlier := m.Catalog.Engines[listed.ID]
		if earlier != nil {
			engine.Ordered = earlier.Ordered
		}
		if earlier != nil && earlier.Region == listed.Region {
			engine.Owner, engine.Epoch = earlier.Owner, earlier.Epoch
		} else {
			// An engine that comes back must not meet an epoch it has seen, and
			// one that has moved leaves its owner.
			m.Epochs++
			engine.Owner, engine.Epoch = "", m.Epochs
		}
		if earlier != nil {
			left = earlier.Region
		}
		engine.Revision = m.touchLeaving(KindEngine, engine.ID, left)
		m.Catalog.Engines[engine.ID] = &engine
	}
	for _, id := range command.Removed {
		if earlier := m.Catalog.Engines[id]; earlier != nil {
			delete(m.Catalog.Engines, id)
			m.touchLeaving(KindEngine, id, earlier.Region)
		}
	}
}

func (m *Machine) setOwners(command *SetOwners) {
	for _, grant := range command.Grants {
		engine, node := m.Catalog.Engines[grant.Engine], m.Catalog.Nodes[grant.Node]
		if engine == nil || engine.Epoch != grant.EngineEpoch {
			continue
		}
		if node == nil || node.Epoch != grant.NodeEpoch || node.Draining {
			continue
		}
		m.setOwner(engine, grant.Node)
	}
}

// setOwner changes the owner under a new epoch. The engine is copied, because
// deltas and replies in flight share the old one.
func (m *Machine) setOwner(engine *Engine, owner string) {
	m.Epochs++
	changed := *engine
	changed.Owner, changed.Epoch = owner, m.Epochs
	changed.Revision = m.touch(KindEngine, engine.ID)
	m.Catalog.Engines[engine.ID] = &changed
}

func (m *Machine) drainEngine(command *DrainEngine) bool {
	engine := m.Catalog.Engines[command.ID]
	if engine == nil {
		return false
	}
	if engine.Ordered != command.Leaving {
		changed := *engine
		changed.Ordered = command.Leaving
		changed.Revision = m.touch(KindEngine, engine.ID)
		m.Catalog.Engines[engine.ID] = &changed
	}
	return true
}
