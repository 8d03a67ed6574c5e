// Package rendezvous spreads things over places by their names alone, so that each process chooses
// alike without a word between them.
package rendezvous

import (
	"hash/fnv"
	"io"
)

// Rank rates a place for a thing: the thing prefers the place with the highest rank, so that one
// place more or less changes few choices.
func Rank(thing, place string) uint64 {
	hash := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(hash, thing)
	_, _ = io.WriteString(hash, "/")
	_, _ = io.WriteString(hash, place)
	// The sum of names that differ in their ends alone differs in few bits: mix it
	// (the finaliser of MurmurHash3).
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
