package state

// SyncEngines updates the engines to match the platform's list.
type SyncEngines struct {
	// Listed are new and changed engines; their owner and epoch are ignored.
	Listed  []Engine `cbor:"1,keyasint"`
	Removed []string `cbor:"2,keyasint"`
}

// SetOwners assigns engines to nodes.
type SetOwners struct {
	Grants []OwnerGrant `cbor:"1,keyasint"`
}

// OwnerGrant assigns an engine to a node if both still have the given epochs.
type OwnerGrant struct {
	Engine      string `cbor:"1,keyasint"`
	EngineEpoch uint64 `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	NodeEpoch   uint64 `cbor:"4,keyasint"`
}

// DrainEngine sets or clears an engine's draining flag on behalf of an operator.
type DrainEngine struct {
	ID      string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint"`
}

func (m *Machine) syncEngines(command *SyncEngines) {
	for _, listed := range command.Listed {
		engine, previousRegion := listed, ""
		earlier := m.Catalog.Engines[listed.ID]
		if earlier != nil {
			engine.Ordered = earlier.Ordered
		}
		if earlier != nil && earlier.Region == listed.Region {
			engine.Owner, engine.Epoch = earlier.Owner, earlier.Epoch
		} else {
			// A listed engine may have been known before and must get an epoch that it
			// has not seen. An engine that has moved to another region loses its owner.
			m.Epochs++
			engine.Owner, engine.Epoch = "", m.Epochs
		}
		if earlier != nil {
			previousRegion = earlier.Region
		}
		engine.Revision = m.recordChangeFrom(KindEngine, engine.ID, previousRegion)
		m.Catalog.Engines[engine.ID] = &engine
	}
	for _, id := range command.Removed {
		if earlier := m.Catalog.Engines[id]; earlier != nil {
			delete(m.Catalog.Engines, id)
			m.recordChangeFrom(KindEngine, id, earlier.Region)
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

// setOwner changes the owner and assigns a new epoch. The engine is copied because
// pending deltas and replies refer to the old object.
func (m *Machine) setOwner(engine *Engine, owner string) {
	m.Epochs++
	changed := *engine
	changed.Owner, changed.Epoch = owner, m.Epochs
	changed.Revision = m.recordChange(KindEngine, engine.ID)
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
		changed.Revision = m.recordChange(KindEngine, engine.ID)
		m.Catalog.Engines[engine.ID] = &changed
	}
	return true
}
