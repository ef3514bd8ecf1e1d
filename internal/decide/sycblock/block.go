// Package sycblock divides prompts into blocks, the parts of a prompt that engines
// cache as a unit, and computes their hashes.
//
// The hashes of a prompt's blocks form a chain: each covers the salt, all blocks
// before it and the block itself. Equal hashes therefore mean equal prefixes for the
// same customer, model, adapter and weights.
package sycblock

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the number of bytes of prompt text that count as one token.
	BytesPerToken = 4
	// TokensPerBlock is the number of tokens in a block.
	TokensPerBlock = 64
	// BytesPerBlock is the number of bytes of prompt text in a block.
	BytesPerBlock = BytesPerToken * TokensPerBlock
)

// Message is one message of a chat.
type Message struct {
	// Role is who wrote the message, such as user or assistant.
	Role string `json:"role"`
	// Content is the text of the message.
	Content string `json:"content"`
}

// Flatten joins the messages of a chat into the prompt text that engines receive.
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

// Tokens returns the number of tokens counted for a text, rounded up.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Salt returns the cache salt for a customer, model, adapter and weights. If one of
// the four differs, so does the salt, and with it the hash of every block. The
// customer can't be derived from the salt.
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

// Chain returns the hash of each full block of the prompt, in order. Text after the
// last full block is ignored.
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
