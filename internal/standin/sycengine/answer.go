package sycengine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Generated tokens are a space and a word of alternating consonants and vowels, which makes
// them readable and easy to tell apart.
const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
	// syllables is the number of consonant-vowel pairs in a token.
	syllables = 3
)

// Answer returns the first n tokens that every engine stand-in generates for a
// prompt with the given weights and adapter, so that a test can check a response.
func Answer(weights, adapter, prompt string, n int) []string {
	seed := answerSeed(weights, adapter, prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = answerToken(seed, i)
	}
	return tokens
}

// answerSeed hashes the parts, each preceded by its length, to the seed from which
// a response's tokens are derived.
func answerSeed(parts ...string) uint64 {
	digest := xxhash.New()
	var size [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = digest.Write(size[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// answerToken returns the token at an index, counted from 0, of the response with
// the given seed.
func answerToken(seed uint64, index int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	h := xxhash.Sum64(key[:])
	var word strings.Builder
	word.WriteByte(' ')
	for range syllables {
		word.WriteByte(consonants[h%uint64(len(consonants))])
		h /= uint64(len(consonants))
		word.WriteByte(vowels[h%uint64(len(vowels))])
		h /= uint64(len(vowels))
	}
	return word.String()
}
