package sycstream

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ID names an answer under way, so that any VM can find it again.
//
// It holds no authority: the stream is handed over only by the engine, which
// compares the cache salt, and the salt is made from the customer whose key
// comes with the request.
type ID struct {
	// Endpoint is the name of the engine's record.
	Endpoint string
	// Stream is the engine's name for the stream.
	Stream  string
	Weights string
	Adapter string
	// Digest binds the stream to the request that began it.
	Digest string
}

// Digest is a short hash of what a request asks for.
func Digest(route, model, prompt string, maxTokens int) string {
	h := sha256.New()
	for _, part := range []string{route, model, prompt, strconv.Itoa(maxTokens)} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

const idParts = 5

// String encodes the id for a header.
func (id ID) String() string {
	parts := []string{id.Endpoint, id.Stream, id.Weights, id.Adapter, id.Digest}
	return base64.RawURLEncoding.EncodeToString([]byte(strings.Join(parts, "\x00")))
}

// maxID bounds the length of an encoded id.
const maxID = 1024

// ParseID decodes an id.
func ParseID(text string) (ID, error) {
	if len(text) > maxID {
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
