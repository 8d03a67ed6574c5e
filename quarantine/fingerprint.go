package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"math"
)

// Fingerprint is a hexadecimal hash that identifies a request by its content, since a repeated
// request has a new ID.
type Fingerprint string

// fingerprintBytes is the number of hash bytes in a fingerprint, enough to make a collision among
// billions of contents unlikely.
const fingerprintBytes = 16

// fraction hashes the fingerprint to a number from 0 to 1.
func (f Fingerprint) fraction() float64 {
	hasher := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = hasher.Write([]byte(f))
	return float64(hasher.Sum32()) / math.MaxUint32
}

// Content holds the parts of a request that its fingerprint covers.
type Content struct {
	// ID identifies the request if the sender repeats it under the same ID, "" otherwise.
	ID string
	// Tenant is the name of the caller's tenant, or "".
	Tenant string
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of all fields.
func (c Content) Fingerprint() Fingerprint {
	hasher := sha256.New()
	for _, part := range []string{c.ID, c.Tenant, c.Method, c.Host, c.Target} {
		writePart(hasher, []byte(part))
	}
	writePart(hasher, c.Body)
	return Fingerprint(hex.EncodeToString(hasher.Sum(nil)[:fingerprintBytes]))
}

// kindDomain separates the hashes of kinds from those of contents.
const kindDomain = "kind"

// KindFingerprint returns the fingerprint shared by all requests of the tenant to the same target,
// regardless of ID and body.
func (c Content) KindFingerprint() Fingerprint {
	hasher := sha256.New()
	for _, part := range []string{kindDomain, c.Tenant, c.Method, c.Host, c.Target} {
		writePart(hasher, []byte(part))
	}
	return Fingerprint(hex.EncodeToString(hasher.Sum(nil)[:fingerprintBytes]))
}

// Subject identifies a request by the fingerprints of its content and of its kind.
type Subject struct {
	Content, Kind Fingerprint
}

// Subject returns both fingerprints of the request.
func (c Content) Subject() Subject {
	return Subject{Content: c.Fingerprint(), Kind: c.KindFingerprint()}
}

// writePart hashes a part prefixed with its length, so that different lists of parts give different input.
func writePart(hasher hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Write of a hash never returns an error.
	_, _ = hasher.Write(length[:])
	_, _ = hasher.Write(part)
}
