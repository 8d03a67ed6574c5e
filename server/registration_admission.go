package server

import (
	"sync"

	"github.com/dillchute/dillchute/directory"
)

// Memory that parts of a registration take in addition to their texts, in bytes.
const (
	backendBytes = 512
	modelBytes   = 64
)

// backendSize returns the memory that a registration takes, in bytes.
func backendSize(backend directory.Backend) int64 {
	size := backendBytes + len(backend.ID) + len(backend.Name) + len(backend.Service) + len(backend.Address) + len(backend.Zone)
	for _, model := range backend.Models {
		size += modelBytes + len(model.Model)
	}
	return int64(size)
}

// registrationAdmission bounds the memory of all registrations and of the models whose versions were named: anyone can send
// them under any names.
type registrationAdmission struct {
	admission *stateAdmission

	mutex sync.Mutex
	// counted is the newest copy of the state whose registrations and models were counted, and size their size.
	counted *directory.Catalog
	size    int64
}

func newRegistrationAdmission(memoryLimit int) *registrationAdmission {
	return &registrationAdmission{admission: newStateAdmission(memoryLimit, backendsDivisor)}
}

// admit admits the registration of a backend that replaces the registered one, which may be empty. It returns what
// stateAdmission.admit returns.
func (r *registrationAdmission) admit(view *directory.Catalog, registered, backend directory.Backend) (func(), error) {
	added := backendSize(backend) - backendSize(registered)
	if registered.ID == "" {
		added = backendSize(backend)
	}
	if added <= 0 {
		return func() {}, nil
	}
	return r.admission.admit(added, r.sizeOf(view))
}

// admitModel admits a version of a model. It returns what stateAdmission.admit returns.
func (r *registrationAdmission) admitModel(view *directory.Catalog, model string) (func(), error) {
	if view.Models[model] != 0 {
		return func() {}, nil
	}
	return r.admission.admit(int64(modelBytes+len(model)), r.sizeOf(view))
}

// sizeOf returns the size of all registrations and models.
func (r *registrationAdmission) sizeOf(view *directory.Catalog) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counted == view {
		return r.size
	}
	r.counted, r.size = view, 0
	for backend := range view.AllBackends() {
		r.size += backendSize(*backend)
	}
	for model := range view.Models {
		r.size += int64(modelBytes + len(model))
	}
	return r.size
}
