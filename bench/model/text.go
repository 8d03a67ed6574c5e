// Package model simulates model engines: the tokens they generate, the time they take, and their
// handling of orders. It is deterministic and has no clock, so that both the stand-in engine
// process and the simulator can use it.
//
// Its assumptions are:
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

// lengthLogStdDev is the standard deviation of the logarithm of answer lengths.
const lengthLogStdDev = 1.0

// medianLengthFraction is the median answer length as a fraction of the maximum.
const medianLengthFraction = 0.12

// Length returns the number of tokens in a prompt's answer.
func Length(prompt string, maxTokens uint32) uint32 {
	hash := hashPosition(prompt, 0)
	first := float64(hash>>32) / (1 << 32)
	second := float64(uint32(hash)) / (1 << 32)
	normal := math.Sqrt(-2*math.Log(1-first)) * math.Cos(2*math.Pi*second)
	length := medianLengthFraction * float64(maxTokens) * math.Exp(lengthLogStdDev*normal)
	return uint32(min(max(length, 1), float64(maxTokens)))
}

// Token returns the token at a position of a prompt's answer. It does not depend on the weights, so
// that the oracle can detect answers that are incomplete or mixed with others.
func Token(prompt string, position uint32) uint32 {
	return uint32(hashPosition(prompt, position+1))
}

// Answer returns all tokens of a prompt's answer.
func Answer(prompt string, maxTokens uint32) []uint32 {
	tokens := make([]uint32, Length(prompt, maxTokens))
	for position := range tokens {
		tokens[position] = Token(prompt, uint32(position))
	}
	return tokens
}

func hashPosition(prompt string, position uint32) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(prompt))
	value := hash.Sum64() ^ (uint64(position) * 0x9e3779b97f4a7c15)
	// The SplitMix64 finalizer decorrelates the hashes of adjacent positions.
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
