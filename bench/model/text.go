// Package model is the stand-in for model engines: what they generate, how long
// it takes, and how they take orders. It is deterministic and has no clock, so
// that the engine process and the simulator share it.
//
// Its assumptions, until the users supply their own figures:
//   - a step generates one token for each running stream and takes
//     StepMillis plus StepMillisPerStream for each stream;
//   - the number of tokens of an answer is log-normal, bounded by the request;
//   - loading weights takes the weight store's time plus SwapMillis, and no
//     stream makes progress meanwhile.
package model

import (
	"hash/fnv"
	"math"
)

// lengthSpread is the standard deviation of the logarithm of answer lengths; at
// this value one answer in a hundred is about ten times the median.
const lengthSpread = 1.0

// medianShare is the median length as a share of the largest allowed one.
const medianShare = 0.12

// Length returns the number of tokens that a prompt's answer has.
func Length(prompt string, maxTokens uint32) uint32 {
	hash := hashOf(prompt, 0)
	first := float64(hash>>32) / (1 << 32)
	second := float64(uint32(hash)) / (1 << 32)
	normal := math.Sqrt(-2*math.Log(1-first)) * math.Cos(2*math.Pi*second)
	length := medianShare * float64(maxTokens) * math.Exp(lengthSpread*normal)
	return uint32(min(max(length, 1), float64(maxTokens)))
}

// Token returns the token at a position of a prompt's answer. It does not
// depend on the weights, so that an oracle can tell a whole answer from one
// that lacks a part or holds part of another.
func Token(prompt string, position uint32) uint32 {
	return uint32(hashOf(prompt, position+1))
}

// Answer returns all tokens of a prompt's answer.
func Answer(prompt string, maxTokens uint32) []uint32 {
	tokens := make([]uint32, Length(prompt, maxTokens))
	for position := range tokens {
		tokens[position] = Token(prompt, uint32(position))
	}
	return tokens
}

func hashOf(prompt string, position uint32) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(prompt))
	value := hash.Sum64() ^ (uint64(position) * 0x9e3779b97f4a7c15)
	// The finalizer of SplitMix64 spreads the bits of close positions.
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
