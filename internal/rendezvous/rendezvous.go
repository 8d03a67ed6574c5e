// Package rendezvous implements rendezvous hashing: processes that know the same names make the same
// assignments without coordination.
package rendezvous

import (
	"hash/fnv"
	"io"
)

// Score returns the score of a node for a key. A key is assigned to the node with the highest score,
// so that adding or removing a node moves few keys.
func Score(key, node string) uint64 {
	hash := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(hash, key)
	_, _ = io.WriteString(hash, "/")
	_, _ = io.WriteString(hash, node)
	// FNV sums of names that differ only at the end differ in few bits; mix them
	// with the finalizer of MurmurHash3.
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
