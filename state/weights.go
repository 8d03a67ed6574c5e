package state

// maxVersions bounds the versions of a model whose time of publication is kept.
const maxVersions = 128

// PublishVersion makes a version the newest of its model.
type PublishVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// PublishResult tells whether the version is the newest now.
type PublishResult struct {
	Accepted bool   `cbor:"1,keyasint"`
	Newest   uint64 `cbor:"2,keyasint"`
}

// publishVersion accepts a version above the newest. The newest one itself,
// resent after a lost answer, is accepted without effect.
func (m *Machine) publishVersion(command *PublishVersion) *PublishResult {
	model := m.Catalog.Models[command.Model]
	newest := model.Newest()
	if command.Version <= newest {
		return &PublishResult{Accepted: command.Version == newest && newest > 0, Newest: newest}
	}
	changed := &Model{Name: command.Model}
	if model != nil {
		changed.Versions = model.Versions
	}
	kept := changed.Versions[max(0, len(changed.Versions)-maxVersions+1):]
	changed.Versions = append(append([]Version(nil), kept...), Version{Number: command.Version, PublishedAt: m.Now})
	changed.Revision = m.touch(KindModel, command.Model)
	m.Catalog.Models[command.Model] = changed
	return &PublishResult{Accepted: true, Newest: command.Version}
}

// Stale tells whether a sample whose oldest segment has the version is over the
// pool's bound, if held is the version that its trainer holds.
func (s PoolSpec) Stale(model *Model, oldest, held uint64, now int64) bool {
	newest := max(model.Newest(), held)
	if oldest+s.MaxStalenessVersions < newest {
		return true
	}
	if s.MaxStalenessMillis == 0 || oldest >= model.Newest() {
		return false
	}
	return now-model.successorPublishedAt(oldest) > s.MaxStalenessMillis
}

// successorPublishedAt returns when the version's successor was published. For
// a successor that is not remembered any more it returns the oldest time known,
// which is later than the true one by as much as maxVersions publications allow.
func (m *Model) successorPublishedAt(version uint64) int64 {
	for _, later := range m.Versions {
		if later.Number > version {
			return later.PublishedAt
		}
	}
	return m.Versions[len(m.Versions)-1].PublishedAt
}
