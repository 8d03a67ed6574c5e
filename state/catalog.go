package state

// WeightPolicy says what happens to running samples when an engine swaps weights.
type WeightPolicy uint8

// The weight policies.
const (
	// FinishRunning lets running samples end under their version first.
	FinishRunning WeightPolicy = iota + 1
	// ContinueRunning swaps under running samples.
	ContinueRunning
	// RestartRunning cancels running samples and runs them again.
	RestartRunning
)

// DisconnectedPolicy says what a node without a lease does with new live requests.
type DisconnectedPolicy uint8

// The disconnected policies.
const (
	// RefuseDisconnected refuses them as not run.
	RefuseDisconnected DisconnectedPolicy = iota + 1
	// ServeLiveDisconnected serves them with the engines the node last owned.
	ServeLiveDisconnected
)

// PoolSpec is the declared part of a pool.
type PoolSpec struct {
	Name        string       `cbor:"1,keyasint"`
	Model       string       `cbor:"2,keyasint"`
	EngineGroup string       `cbor:"3,keyasint"`
	Policy      WeightPolicy `cbor:"4,keyasint"`
	// MaxStalenessVersions bounds how many versions a delivered sample trails.
	MaxStalenessVersions uint64 `cbor:"5,keyasint"`
	// MaxStalenessMillis bounds the time since the successor of a delivered
	// sample's oldest version was published; 0 is unbounded.
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
	// PublishedAt is in milliseconds since 1970, on the machine's time.
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

// Node is a registered node. It holds a lease as long as it is in the catalog.
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
	// Slots is the number of streams that the engine batches at once.
	Slots int `cbor:"7,keyasint"`
	// Listed is the platform's word that the engine is leaving; Ordered is an operator's.
	Listed  bool `cbor:"8,keyasint"`
	Ordered bool `cbor:"9,keyasint"`
	// Owner is the node that alone dispatches to the engine, "" for none.
	Owner string `cbor:"10,keyasint"`
	// Epoch grows with each change of owner; the engine refuses lower ones.
	Epoch uint64 `cbor:"11,keyasint"`
}

// Leaving tells whether the engine gets no new work.
func (e *Engine) Leaving() bool { return e.Listed || e.Ordered }

// ObjectKind is a kind of catalog object.
type ObjectKind uint8

// The kinds of catalog objects.
const (
	KindPool ObjectKind = iota + 1
	KindModel
	KindNode
	KindEngine
)

// ObjectKey names a catalog object.
type ObjectKey struct {
	_    struct{} `cbor:",toarray"`
	Kind ObjectKind
	Name string
}

// Catalog is what nodes act on: the declared pools, models, nodes and engines.
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

// Delta is the part of the catalog that changed after a revision, as far as it
// concerns one region's nodes.
type Delta struct {
	// From is the revision that the delta starts from; 0 means that the delta
	// replaces all that the receiver knew.
	From    uint64      `cbor:"1,keyasint,omitempty"`
	To      uint64      `cbor:"2,keyasint,omitempty"`
	Changed Catalog     `cbor:"3,keyasint"`
	Removed []ObjectKey `cbor:"4,keyasint,omitempty"`
}

// Merge brings the catalog to the delta's revision.
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

// presence is where an object is, as seen from a region.
type presence uint8

const (
	// absent: the object does not exist.
	absent presence = iota
	// elsewhere: it belongs to another region.
	elsewhere
	// here: it concerns the region.
	here
)

// copyObject copies the object named by the key into the catalog, if it
// concerns the region, and tells where the object is.
func (c *Catalog) copyObject(into *Catalog, key ObjectKey, region string) presence {
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

func copyInto[T any](into map[string]*T, object *T, name string, concerns bool) presence {
	switch {
	case object == nil:
		return absent
	case !concerns:
		return elsewhere
	}
	copied := *object
	into[name] = &copied
	return here
}

// maxChangeRecords bounds the change log; a node that is further behind gets
// the whole catalog.
const maxChangeRecords = 16384

type changeRecord struct {
	revision uint64
	key      ObjectKey
	// left is the region whose view the object left with the change, if any.
	left string
}

// DeltaSince returns what changed after the revision in the region's view.
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
		where := m.Catalog.copyObject(&delta.Changed, change.key, region)
		if where == absent || (where == elsewhere && change.left == region) {
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

// touch raises the revision and records that the object changed at it.
func (m *Machine) touch(kind ObjectKind, name string) uint64 {
	return m.touchLeaving(kind, name, "")
}

// touchLeaving is touch for an object that leaves the region's view.
func (m *Machine) touchLeaving(kind ObjectKind, name, left string) uint64 {
	m.Revision++
	m.changes = append(m.changes, changeRecord{
		revision: m.Revision, key: ObjectKey{Kind: kind, Name: name}, left: left,
	})
	if len(m.changes) > maxChangeRecords {
		half := len(m.changes) / 2
		m.changesFrom = m.changes[half-1].revision
		m.changes = append([]changeRecord(nil), m.changes[half:]...)
	}
	return m.Revision
}
