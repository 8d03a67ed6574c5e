package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"hash/fnv"
	"math"
)

// Fingerprint tells requests of the same content apart from others, in hexadecimal digits. A
// request that comes again has another ID, so it is known by its content only.
type Fingerprint string

// fingerprintBytes is how much of a hash a fingerprint holds: two contents among billions do
// not meet by chance.
const fingerprintBytes = 16

// fraction returns a number of 0 to 1 that differs between fingerprints.
func (f Fingerprint) fraction() float64 {
	sum := fnv.New32a()
	// A hash takes in all that it is given.
	_, _ = sum.Write([]byte(f))
	return float64(sum.Sum32()) / math.MaxUint32
}

// Content is what makes two requests the same.
type Content struct {
	// ID is what the sender calls the request each time, "" where it comes under another ID.
	ID string
	// Tenant is the name of the caller's tenant, "" for none.
	Tenant string
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the content's fingerprint.
func (c Content) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{c.ID, c.Tenant, c.Method, c.Host, c.Target} {
		writePart(sum, []byte(part))
	}
	writePart(sum, c.Body)
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)[:fingerprintBytes]))
}

// kindMark keeps the fingerprints of kinds apart from those of contents.
const kindMark = "kind"

// Kind returns the fingerprint of all requests of the tenant to the same target, whatever their
// IDs and bodies.
func (c Content) Kind() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{kindMark, c.Tenant, c.Method, c.Host, c.Target} {
		writePart(sum, []byte(part))
	}
	return Fingerprint(hex.EncodeToString(sum.Sum(nil)[:fingerprintBytes]))
}

// Subject names a request by its content and by its kind.
type Subject struct {
	Content, Kind Fingerprint
}

// Subject returns what names the request.
func (c Content) Subject() Subject { return Subject{Content: c.Fingerprint(), Kind: c.Kind()} }

// writePart adds a part with its length before it, so that no two lists of parts look alike.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// A hash takes in all that it is given.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(part)
}
