package sycstream

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ID identifies a token stream at its engine, so that any VM can resume it.
//
// An ID gives no access by itself. The engine returns a stream only if the
// request's cache salt matches, and the gateway derives the salt from the customer
// whose key comes with the request.
type ID struct {
	// Endpoint is the name of the engine's endpoint record.
	Endpoint string
	// Stream is the name of the stream at the engine.
	Stream string
	// Weights is the version of the weights that generate the stream.
	Weights string
	// Adapter is the adapter that is applied to the weights; empty for none.
	Adapter string
	// Digest is the hash of the request that started the stream (see the function
	// Digest). Only a request with the same digest may resume it.
	Digest string
}

// Digest returns the first 8 bytes of a SHA-256 hash over a request's route, model,
// prompt and output limit, in hexadecimal. Each part is hashed with its length, so
// that moving text from one part to the next changes the digest.
func Digest(route, model, prompt string, maxTokens int) string {
	h := sha256.New()
	for _, part := range []string{route, model, prompt, strconv.Itoa(maxTokens)} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// idParts is the number of fields in an encoded ID.
const idParts = 5

// String encodes the ID as URL-safe base64 for use in a header.
func (id ID) String() string {
	parts := []string{id.Endpoint, id.Stream, id.Weights, id.Adapter, id.Digest}
	return base64.RawURLEncoding.EncodeToString([]byte(strings.Join(parts, "\x00")))
}

// maxIDLength limits the length of an encoded ID in bytes.
const maxIDLength = 1024

// ParseID decodes an ID that String encoded. It fails if the text is longer than
// 1024 bytes or names no endpoint or stream.
func ParseID(text string) (ID, error) {
	if len(text) > maxIDLength {
		return ID{}, eris.New("the stream id is too long")
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ID{}, eris.New("the stream id is malformed")
	}
	parts := strings.Split(string(data), "\x00")
	if len(parts) != idParts || parts[0] == "" || parts[1] == "" {
		return ID{}, eris.New("the stream id is malformed")
	}
	return ID{
		Endpoint: parts[0],
		Stream:   parts[1],
		Weights:  parts[2],
		Adapter:  parts[3],
		Digest:   parts[4],
	}, nil
}
