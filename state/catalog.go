package state

// WeightPolicy defines how running samples are handled when an engine swaps weights.
type WeightPolicy uint8

// The weight policies.
const (
	// FinishRunning delays the swap until running samples have finished.
	FinishRunning WeightPolicy = iota + 1
	// ContinueRunning swaps weights while samples run; they continue with the new version.
	ContinueRunning
	// RestartRunning cancels running samples and restarts them after the swap.
	RestartRunning
)

// DisconnectedPolicy defines how a node without a lease handles new live requests.
type DisconnectedPolicy uint8

// The disconnected policies.
const (
	// RefuseDisconnected refuses new live requests with the outcome "not run".
	RefuseDisconnected DisconnectedPolicy = iota + 1
	// ServeLiveDisconnected serves live requests with the engines that the node last owned.
	ServeLiveDisconnected
)

// PoolSpec is the declared configuration of a pool.
type PoolSpec struct {
	Name        string       `cbor:"1,keyasint"`
	Model       string       `cbor:"2,keyasint"`
	EngineGroup string       `cbor:"3,keyasint"`
	Policy      WeightPolicy `cbor:"4,keyasint"`
	// MaxStalenessVersions is the maximum number of versions by which a delivered
	// sample may be behind the newest.
	MaxStalenessVersions uint64 `cbor:"5,keyasint"`
	// MaxStalenessMillis is the maximum time since the successor of a delivered
	// sample's oldest version was published; 0 means no limit.
	MaxStalenessMillis int64              `cbor:"6,keyasint"`
	SamplePriority     uint8              `cbor:"7,keyasint"`
	LivePriority       uint8              `cbor:"8,keyasint"`
	MaxQueuedRequests  int                `cbor:"9,keyasint"`
	MaxQueuedTokens    int                `cbor:"10,keyasint"`
	RetryPercent       int                `cbor:"11,keyasint"`
	MaxSwappingPercent int                `cbor:"12,keyasint"`
	Disconnected       DisconnectedPolicy `cbor:"13,keyasint"`
}

// Pool is a declared pool with the revision at which it last changed.
type Pool struct {
	Revision uint64   `cbor:"1,keyasint"`
	Spec     PoolSpec `cbor:"2,keyasint"`
}

// Version is a published weight version.
type Version struct {
	Number uint64 `cbor:"1,keyasint"`
	// PublishedAt is Machine.Now at publication.
	PublishedAt int64 `cbor:"2,keyasint"`
}

// Model is a model with its newest published versions, oldest first.
type Model struct {
	Revision uint64    `cbor:"1,keyasint"`
	Name     string    `cbor:"2,keyasint"`
	Versions []Version `cbor:"3,keyasint"`
}

// Newest returns the number of the newest published version, 0 for none.
func (m *Model) Newest() uint64 {
	if m == nil || len(m.Versions) == 0 {
		return 0
	}
	return m.Versions[len(m.Versions)-1].Number
}

// Node is a registered node. It is removed from the catalog when its lease expires.
type Node struct {
	Revision    uint64 `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Region      string `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"`
	Incarnation uint64 `cbor:"6,keyasint"`
	// Epoch is unique to this registration.
	Epoch    uint64 `cbor:"7,keyasint"`
	Draining bool   `cbor:"8,keyasint"`
}

// Engine is a model engine as the platform lists it, with its owner.
type Engine struct {
	Revision uint64 `cbor:"1,keyasint"`
	ID       string `cbor:"2,keyasint"`
	Zone     string `cbor:"3,keyasint"`
	Region   string `cbor:"4,keyasint"`
	Group    string `cbor:"5,keyasint"`
	Address  string `cbor:"6,keyasint"`
	// Slots is the maximum number of concurrent streams.
	Slots int `cbor:"7,keyasint"`
	// Listed is set if the platform drains the engine, Ordered if an operator does.
	Listed  bool `cbor:"8,keyasint"`
	Ordered bool `cbor:"9,keyasint"`
	// Owner is the only node that dispatches to the engine; "" means none.
	Owner string `cbor:"10,keyasint"`
	// Epoch increases with each change of owner; the engine rejects lower epochs.
	Epoch uint64 `cbor:"11,keyasint"`
}

// Draining reports whether the engine receives no new work.
func (e *Engine) Draining() bool { return e.Listed || e.Ordered }

// ObjectKind is a kind of catalog object.
type ObjectKind uint8

// The kinds of catalog objects.
const (
	KindPool ObjectKind = iota + 1
	KindModel
	KindNode
	KindEngine
)

// ObjectKey identifies a catalog object.
type ObjectKey struct {
	_    struct{} `cbor:",toarray"`
	Kind ObjectKind
	Name string
}

// Catalog holds the pools, models, nodes and engines that are distributed to nodes.
type Catalog struct {
	Pools   map[string]*Pool   `cbor:"1,keyasint,omitempty"`
	Models  map[string]*Model  `cbor:"2,keyasint,omitempty"`
	Nodes   map[string]*Node   `cbor:"3,keyasint,omitempty"`
	Engines map[string]*Engine `cbor:"4,keyasint,omitempty"`
}

// NewCatalog returns an empty catalog.
func NewCatalog() Catalog {
	return Catalog{
		Pools: map[string]*Pool{}, Models: map[string]*Model{},
		Nodes: map[string]*Node{}, Engines: map[string]*Engine{},
	}
}

// Delta holds the catalog changes after a revision that are visible in one region.
type Delta struct {
	// From is the base revision; 0 means that the delta replaces the receiver's
	// whole catalog.
	From    uint64      `cbor:"1,keyasint,omitempty"`
	To      uint64      `cbor:"2,keyasint,omitempty"`
	Changed Catalog     `cbor:"3,keyasint"`
	Removed []ObjectKey `cbor:"4,keyasint,omitempty"`
}

// Merge applies the delta to the catalog.
func (c *Catalog) Merge(delta Delta) {
	if delta.From == 0 {
		*c = NewCatalog()
	}
	mergeObjects(c.Pools, delta.Changed.Pools)
	mergeObjects(c.Models, delta.Changed.Models)
	mergeObjects(c.Nodes, delta.Changed.Nodes)
	mergeObjects(c.Engines, delta.Changed.Engines)
	for _, key := range delta.Removed {
		c.remove(key)
	}
}

func mergeObjects[T any](into, from map[string]*T) {
	for name, object := range from {
		into[name] = object
	}
}

func (c *Catalog) remove(key ObjectKey) {
	switch key.Kind {
	case KindPool:
		delete(c.Pools, key.Name)
	case KindModel:
		delete(c.Models, key.Name)
	case KindNode:
		delete(c.Nodes, key.Name)
	case KindEngine:
		delete(c.Engines, key.Name)
	}
}

// visibility describes whether an object exists and is visible in a region.
type visibility uint8

const (
	// absent: the object does not exist.
	absent visibility = iota
	// otherRegion: the object belongs to another region.
	otherRegion
	// visible: the object is global or belongs to the region.
	visible
)

// copyObject copies the object into the given catalog if it is visible in the
// region, and returns its visibility.
func (c *Catalog) copyObject(into *Catalog, key ObjectKey, region string) visibility {
	switch key.Kind {
	case KindPool:
		return copyInto(into.Pools, c.Pools[key.Name], key.Name, true)
	case KindModel:
		return copyInto(into.Models, c.Models[key.Name], key.Name, true)
	case KindNode:
		node := c.Nodes[key.Name]
		return copyInto(into.Nodes, node, key.Name, node != nil && node.Region == region)
	default:
		engine := c.Engines[key.Name]
		return copyInto(into.Engines, engine, key.Name, engine != nil && engine.Region == region)
	}
}

func copyInto[T any](into map[string]*T, object *T, name string, inRegion bool) visibility {
	switch {
	case object == nil:
		return absent
	case !inRegion:
		return otherRegion
	}
	copied := *object
	into[name] = &copied
	return visible
}

// maxChangeRecords limits the change log; a node that is further behind receives
// the whole catalog.
const maxChangeRecords = 16384

type changeRecord struct {
	revision uint64
	key      ObjectKey
	// previousRegion is the region that the object was removed or moved from, if any.
	previousRegion string
}

// DeltaSince returns the changes after the revision that are visible in the region.
func (m *Machine) DeltaSince(revision uint64, region string) Delta {
	delta := Delta{From: revision, To: m.Revision, Changed: NewCatalog()}
	if revision == m.Revision && revision > 0 {
		return delta
	}
	if revision == 0 || revision < m.changesFrom || revision > m.Revision {
		delta.From = 0
		m.copyAll(&delta.Changed, region)
		return delta
	}
	for position := len(m.changes) - 1; position >= 0 && m.changes[position].revision > revision; position-- {
		change := m.changes[position]
		found := m.Catalog.copyObject(&delta.Changed, change.key, region)
		if found == absent || (found == otherRegion && change.previousRegion == region) {
			delta.Removed = append(delta.Removed, change.key)
		}
	}
	return delta
}

func (m *Machine) copyAll(into *Catalog, region string) {
	for name := range m.Catalog.Pools {
		m.Catalog.copyObject(into, ObjectKey{Kind: KindPool, Name: name}, region)
	}
	for name := range m.Catalog.Models {
		m.Catalog.copyObject(into, ObjectKey{Kind: KindModel, Name: name}, region)
	}
	for name := range m.Catalog.Nodes {
		m.Catalog.copyObject(into, ObjectKey{Kind: KindNode, Name: name}, region)
	}
	for name := range m.Catalog.Engines {
		m.Catalog.copyObject(into, ObjectKey{Kind: KindEngine, Name: name}, region)
	}
}

// recordChange increments the revision and records that the object changed.
func (m *Machine) recordChange(kind ObjectKind, name string) uint64 {
	return m.recordChangeFrom(kind, name, "")
}

// recordChangeFrom is recordChange for an object that may no longer be visible
// in its previous region.
func (m *Machine) recordChangeFrom(kind ObjectKind, name, previousRegion string) uint64 {
	m.Revision++
	m.changes = append(m.changes, changeRecord{
		revision: m.Revision, key: ObjectKey{Kind: kind, Name: name}, previousRegion: previousRegion,
	})
	if len(m.changes) > maxChangeRecords {
		half := len(m.changes) / 2
		m.changesFrom = m.changes[half-1].revision
		m.changes = append([]changeRecord(nil), m.changes[half:]...)
	}
	return m.Revision
}
