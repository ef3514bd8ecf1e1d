// Package sycblock cuts prompts into cache blocks and hashes them in a chain.
//
// The hash of a block covers the salt, every block before it and its own
// bytes, so that equal hashes mean equal prefixes for the same customer,
// model, adapter and weights.
package sycblock

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the length of prompt text that counts as one token.
	BytesPerToken = 4
	// TokensPerBlock is the number of tokens in a cache block.
	TokensPerBlock = 64
	// BytesPerBlock is the length of prompt text in a cache block.
	BytesPerBlock = BytesPerToken * TokensPerBlock
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Flatten renders a chat as the prompt text that engines receive.
func Flatten(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(":\n")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// Tokens is the number of tokens of a text, rounded up.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Salt separates cached blocks by customer, model, adapter and weights. The
// customer cannot be read back from it.
func Salt(customer, model, adapter, weights string) string {
	h := sha256.New()
	for _, part := range []string{customer, model, adapter, weights} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Chain returns the hash of each whole block of the prompt, in order.
func Chain(salt, prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BytesPerBlock)
	previous := xxhash.Sum64String(salt)
	var digest xxhash.Digest
	var link [8]byte
	for len(prompt) >= BytesPerBlock {
		binary.LittleEndian.PutUint64(link[:], previous)
		digest.Reset()
		digest.Write(link[:])
		digest.WriteString(prompt[:BytesPerBlock])
		previous = digest.Sum64()
		blocks = append(blocks, previous)
		prompt = prompt[BytesPerBlock:]
	}
	return blocks
}
