package state

// Machine is the replicated state. A snapshot contains the exported fields.
type Machine struct {
	// Now is the highest Command.Now so far, in milliseconds since 1970.
	Now int64 `cbor:"1,keyasint"`
	// Revision increases with each change of a catalog object.
	Revision uint64  `cbor:"2,keyasint"`
	Catalog  Catalog `cbor:"3,keyasint"`
	// Declared is the revision of the last accepted declaration.
	Declared uint64                    `cbor:"4,keyasint"`
	History  []Change                  `cbor:"5,keyasint"`
	Outcomes map[string]*changeOutcome `cbor:"6,keyasint"`
	// OutcomeOrder lists the change IDs in Outcomes, oldest first.
	OutcomeOrder []string `cbor:"7,keyasint"`
	// Epochs is the last epoch given to a node registration or an engine ownership.
	Epochs  uint64                  `cbor:"8,keyasint"`
	Ledgers map[string]*Ledger      `cbor:"9,keyasint"`
	Claims  map[string]*claimRecord `cbor:"10,keyasint"`
	// ClaimOrder lists the keys in Claims by the end of their window.
	ClaimOrder []string `cbor:"11,keyasint"`

	changes     []changeRecord
	changesFrom uint64
}

// NewMachine returns the initial state.
func NewMachine() *Machine {
	return &Machine{
		Catalog:  NewCatalog(),
		Outcomes: map[string]*changeOutcome{},
		Ledgers:  map[string]*Ledger{},
		Claims:   map[string]*claimRecord{},
	}
}

// Apply executes the command and returns its result.
func (m *Machine) Apply(command Command) Result {
	m.Now = max(m.Now, command.Now)
	switch {
	case command.Apply != nil:
		return Result{Apply: m.applyDeclaration(command.Apply)}
	case command.PublishVersion != nil:
		return Result{Publish: m.publishVersion(command.PublishVersion)}
	case command.RegisterNode != nil:
		return Result{Register: m.registerNode(command.RegisterNode)}
	case command.ExpireNode != nil:
		return Result{Found: m.expireNode(command.ExpireNode)}
	case command.DrainNode != nil:
		return Result{Found: m.drainNode(command.DrainNode)}
	case command.SyncEngines != nil:
		m.syncEngines(command.SyncEngines)
	case command.SetOwners != nil:
		m.setOwners(command.SetOwners)
	case command.DrainEngine != nil:
		return Result{Found: m.drainEngine(command.DrainEngine)}
	case command.SubmitStep != nil:
		return Result{Submit: m.submitStep(command.SubmitStep)}
	case command.AssignSamples != nil:
		return Result{Assign: m.assignSamples(command.AssignSamples)}
	case command.CompleteSamples != nil:
		m.completeSamples(command.CompleteSamples)
	case command.Fetch != nil:
		return Result{Fetch: m.fetch(command.Fetch)}
	case command.Claim != nil:
		return Result{Claim: m.claim(command.Claim)}
	case command.ResolveClaim != nil:
		m.resolveClaim(command.ResolveClaim)
	}
	return Result{}
}

// Snapshot encodes the state; equal states have equal encodings.
func (m *Machine) Snapshot() []byte {
	data, err := encoder.Marshal(m)
	if err != nil {
		panic("state: encode snapshot: " + err.Error())
	}
	return data
}

// Restore decodes a snapshot. Empty data restores the initial state.
func Restore(data []byte) (*Machine, error) {
	m := NewMachine()
	if len(data) == 0 {
		return m, nil
	}
	if err := decoder.Unmarshal(data, m); err != nil {
		return nil, err
	}
	m.changesFrom = m.Revision
	for _, ledger := range m.Ledgers {
		ledger.rebuildPending()
	}
	return m, nil
}
