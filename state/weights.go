package state

// maxVersions limits the number of versions kept for a model.
const maxVersions = 128

// PublishVersion publishes a new version of a model.
type PublishVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// PublishResult reports whether the version is now the newest one.
type PublishResult struct {
	Accepted bool   `cbor:"1,keyasint"`
	Newest   uint64 `cbor:"2,keyasint"`
}

// publishVersion accepts versions above the newest. The newest version itself is
// accepted without effect, because the publisher may resend it.
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
	changed.Revision = m.recordChange(KindModel, command.Model)
	m.Catalog.Models[command.Model] = changed
	return &PublishResult{Accepted: true, Newest: command.Version}
}

// IsStale reports whether a sample with the given oldest version exceeds the pool's
// staleness limits. heldVersion is the version that the trainer holds.
func (s PoolSpec) IsStale(model *Model, oldest, heldVersion uint64, now int64) bool {
	newest := max(model.Newest(), heldVersion)
	if oldest+s.MaxStalenessVersions < newest {
		return true
	}
	if s.MaxStalenessMillis == 0 || oldest >= model.Newest() {
		return false
	}
	return now-model.successorPublishedAt(oldest) > s.MaxStalenessMillis
}

// successorPublishedAt returns when the version's successor was published. If the
// successor is no longer recorded, it returns the oldest recorded time, which is later.
func (m *Model) successorPublishedAt(version uint64) int64 {
	for _, later := range m.Versions {
		if later.Number > version {
			return later.PublishedAt
		}
	}
	return m.Versions[len(m.Versions)-1].PublishedAt
}
