package sycconfig_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

// repackSnapshot replaces text in the content of an encoded snapshot and updates the
// hash.
func repackSnapshot(t *testing.T, data []byte, old, replacement string) []byte {
	t.Helper()
	const magic = "sycsnap\n"
	expander, err := gzip.NewReader(bytes.NewReader(data[len(magic)+sha256.Size:]))
	must.NoError(t, err)
	content, err := io.ReadAll(expander)
	must.NoError(t, err)
	must.True(t, bytes.Contains(content, []byte(old)))
	content = bytes.ReplaceAll(content, []byte(old), []byte(replacement))
	var body bytes.Buffer
	compressor := gzip.NewWriter(&body)
	_, err = compressor.Write(content)
	must.NoError(t, err)
	must.NoError(t, compressor.Close())
	sum := sha256.Sum256(body.Bytes())
	return bytes.Join([][]byte{[]byte(magic), sum[:], body.Bytes()}, nil)
}
