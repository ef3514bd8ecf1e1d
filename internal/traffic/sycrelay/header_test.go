package sycrelay

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestHeaderIsNotOvercounted guards against a request within the limit that is rejected for its header's size.
func TestHeaderIsNotOvercounted(t *testing.T) {
	tests := []struct {
		name, text string
		// uncounted is how many bytes of the text aren't counted.
		uncounted int
	}{
		{"no spaces", "GET /a?b=c HTTP/1.1\r\nHost:h.example\r\nX-A:1\r\nX-A:22\r\nX-Empty:\r\n\r\n", 0},
		{"spaces", "POST /a HTTP/1.1\r\nHost: h\r\nx-lower:  1 \r\nContent-Length: 4\r\n\r\n", 5},
		{"removed fields", "POST /a HTTP/1.1\r\nHost:h\r\nTransfer-Encoding:chunked\r\n\r\n", len("Transfer-Encoding:chunked\r\n")},
		{"absolute form", "GET http://h.example/a HTTP/1.1\r\nHost:h.example\r\n\r\n", 0},
		{"no host", "GET / HTTP/1.0\r\n\r\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(tt.text)))
			must.NoError(t, err)
			must.Eq(t, len(tt.text)-tt.uncounted, headerBytes(req))
		})
	}
}
