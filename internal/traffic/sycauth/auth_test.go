package sycauth_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/traffic/sycauth"
)

// secret is the only valid key.
const secret = "sk-0123456789abcdef"

// lookup is a KeyLookup that knows only secret, which belongs to customer "c".
func lookup(hash string) (string, bool) {
	sum := sha256.Sum256([]byte(secret))
	return "c", hash == hex.EncodeToString(sum[:])
}

// TestIdentify checks which keys authenticate a request, and that no error contains
// the key.
func TestIdentify(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		reason sycauth.Reason
	}{
		{"bearer", http.Header{"Authorization": {"bearer  " + secret}}, ""},
		{"api key", http.Header{"X-Api-Key": {secret}}, ""},
		{"no key", http.Header{}, sycauth.NoKey},
		{"empty keys", http.Header{"Authorization": {"Bearer "}, "X-Api-Key": {" "}}, sycauth.UnknownKey},
		{"unknown key", http.Header{"X-Api-Key": {"x"}}, sycauth.UnknownKey},
		{"two different keys", http.Header{"Authorization": {"Bearer " + secret, "Bearer x"}}, sycauth.TwoKeys},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id, err := sycauth.Identify(c.header, lookup)
			if c.reason == "" {
				must.NoError(t, err)
				must.Eq(t, "c", id.Customer())
				must.True(t, id.Valid(lookup))
				must.False(t, id.Valid(func(string) (string, bool) { return "", false }))
				return
			}
			var authErr *sycauth.Error
			must.True(t, errors.As(err, &authErr))
			must.Eq(t, c.reason, authErr.Reason)
			must.False(t, strings.Contains(err.Error(), secret))
		})
	}
}

// FuzzScrubber checks that the request's own key is removed from queries, headers and
// cookies, wherever it stands in them and whether it's escaped or not.
func FuzzScrubber(f *testing.F) {
	f.Add("a", "b", "c")
	f.Add("a=1&b", "&", ";%")
	f.Fuzz(func(t *testing.T, before, name, after string) {
		id, err := sycauth.Identify(http.Header{"X-Api-Key": {secret}}, lookup)
		must.NoError(t, err)
		s := sycauth.NewScrubber(id, lookup)
		query := s.ScrubQuery(before + "&" + name + "=" + before + url.QueryEscape(secret) + "&" + secret + after)
		plain, err := url.QueryUnescape(query)
		if strings.Contains(query, secret) || (err == nil && strings.Contains(plain, secret)) {
			t.Fatalf("query still contains the key: %q", query)
		}
		h := http.Header{"X-Other": {before + secret + after}, "Cookie": {before + "; " + name + "=" + secret + after}}
		s.ScrubHeader(h)
		for _, values := range h {
			if strings.Contains(strings.Join(values, " "), secret) {
				t.Fatalf("headers still contain the key: %q", h)
			}
		}
	})
}
