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

const secret = "sk-0123456789abcdef"

func owner(hash string) (string, bool) {
	sum := sha256.Sum256([]byte(secret))
	return "c", hash == hex.EncodeToString(sum[:])
}

func TestIdentify(t *testing.T) {
	cases := []struct {
		name   string
		header http.Header
		reason sycauth.Reason
	}{
		{"bearer", http.Header{"Authorization": {"bearer  " + secret}}, ""},
		{"api key", http.Header{"X-Api-Key": {secret}}, ""},
		{"none", http.Header{}, sycauth.NoKey},
		{"empty", http.Header{"Authorization": {"Bearer "}, "X-Api-Key": {" "}}, sycauth.UnknownKey},
		{"wrong", http.Header{"X-Api-Key": {"x"}}, sycauth.UnknownKey},
		{"two", http.Header{"Authorization": {"Bearer " + secret, "Bearer x"}}, sycauth.TwoKeys},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id, err := sycauth.Identify(c.header, owner)
			if c.reason == "" {
				must.NoError(t, err)
				must.Eq(t, "c", id.Customer())
				must.True(t, id.Valid(owner))
				must.False(t, id.Valid(func(string) (string, bool) { return "", false }))
				return
			}
			var fault *sycauth.Error
			must.True(t, errors.As(err, &fault))
			must.Eq(t, c.reason, fault.Reason)
			must.False(t, strings.Contains(err.Error(), secret))
		})
	}
}

// FuzzScrubber puts the key into any place of a query and headers, plainly or
// escaped, and checks that it is gone.
func FuzzScrubber(f *testing.F) {
	f.Add("a", "b", "c")
	f.Add("a=1&b", "&", ";%")
	f.Fuzz(func(t *testing.T, before, name, after string) {
		id, err := sycauth.Identify(http.Header{"X-Api-Key": {secret}}, owner)
		must.NoError(t, err)
		s := sycauth.NewScrubber(id, owner)
		query := s.ScrubQuery(before + "&" + name + "=" + before + url.QueryEscape(secret) + "&" + secret + after)
		plain, err := url.QueryUnescape(query)
		if strings.Contains(query, secret) || (err == nil && strings.Contains(plain, secret)) {
			t.Fatalf("query %q", query)
		}
		h := http.Header{"X-Other": {before + secret + after}, "Cookie": {before + "; " + name + "=" + secret + after}}
		s.ScrubHeader(h)
		for _, values := range h {
			if strings.Contains(strings.Join(values, " "), secret) {
				t.Fatalf("header %q", h)
			}
		}
	})
}
