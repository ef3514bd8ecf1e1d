// Package sycauth finds the customer that a request acts for and removes every
// trace of the caller's key from what is passed on.
package sycauth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
)

// KeyLookup looks up the customer of a key by its SHA-256 in lower-case hexadecimal.
type KeyLookup func(sha256 string) (customer string, ok bool)

// Reason says why a request is not authenticated.
type Reason string

// Reasons for refusing a request.
const (
	NoKey      Reason = "missing_key"
	UnknownKey Reason = "invalid_key"
	TwoKeys    Reason = "conflicting_keys"
)

// Error is a request without exactly one valid key. It never holds the key.
type Error struct {
	Reason Reason
}

// Error returns the reason in words.
func (e *Error) Error() string {
	switch e.Reason {
	case NoKey:
		return "the request carries no key; send Authorization: Bearer KEY"
	case TwoKeys:
		return "the request carries two different keys"
	}
	return "the key is unknown or no longer valid"
}

// Identity is what a request proves about its caller.
type Identity struct {
	customer string
	hash     string
	// secret is the key as presented; it must not be logged or passed on.
	secret string
}

// Customer is the customer whose key came with the request; empty for none.
func (i Identity) Customer() string { return i.customer }

// Valid reports whether the key still belongs to the same customer.
func (i Identity) Valid(owner KeyLookup) bool {
	if i.hash == "" {
		return false
	}
	customer, ok := owner(i.hash)
	return ok && customer == i.customer
}

// Identify authenticates a request by the keys in its Authorization and
// X-Api-Key headers. It fails with *Error.
func Identify(h http.Header, owner KeyLookup) (Identity, error) {
	secrets := presented(h)
	if len(secrets) == 0 {
		return Identity{}, &Error{NoKey}
	}
	for _, s := range secrets[1:] {
		if s != secrets[0] {
			return Identity{}, &Error{TwoKeys}
		}
	}
	id := Identity{secret: secrets[0], hash: hash(secrets[0])}
	customer, ok := owner(id.hash)
	if !ok {
		return Identity{}, &Error{UnknownKey}
	}
	id.customer = customer
	return id, nil
}

// presented returns every key in the places where a caller is meant to put it.
func presented(h http.Header) []string {
	var secrets []string
	for _, v := range h.Values("Authorization") {
		if s := bearer(v); s != "" {
			secrets = append(secrets, s)
		}
	}
	for _, v := range h.Values("X-Api-Key") {
		if s := strings.TrimSpace(v); s != "" {
			secrets = append(secrets, s)
		}
	}
	return secrets
}

// bearer returns the token of an Authorization header; other schemes count as
// a key that nobody owns.
func bearer(v string) string {
	scheme, token, found := strings.Cut(strings.TrimSpace(v), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(v)
	}
	return strings.TrimSpace(token)
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keyNames are the headers, query parameters and cookies that carry keys by
// custom, in canonical header form.
var keyNames = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"X-Api-Key":           true,
	"Api-Key":             true,
	"Apikey":              true,
	"Api_key":             true,
	"Access_token":        true,
	"Access-Token":        true,
	"X-Auth-Token":        true,
}

func keyName(name string) bool {
	return keyNames[http.CanonicalHeaderKey(name)]
}

// Scrubber removes keys from what goes to an endpoint.
type Scrubber struct {
	owner  KeyLookup
	secret string
}

// NewScrubber returns a scrubber that knows the presented key and can tell
// whether a value is a key of any customer.
func NewScrubber(id Identity, owner KeyLookup) *Scrubber {
	return &Scrubber{owner: owner, secret: id.secret}
}

// holdsKey reports whether a value is, or contains, a key.
func (s *Scrubber) holdsKey(v string) bool {
	if s.secret != "" && strings.Contains(v, s.secret) {
		return true
	}
	for _, word := range strings.FieldsFunc(v, separator) {
		if _, ok := s.owner(hash(word)); ok {
			return true
		}
	}
	return false
}

func separator(r rune) bool {
	return strings.ContainsRune(" \t,;=\"'&", r)
}

// ScrubHeader removes keys from the headers.
func (s *Scrubber) ScrubHeader(h http.Header) {
	for name, values := range h {
		if keyName(name) {
			delete(h, name)
			continue
		}
		if name == "Cookie" {
			s.cookies(h)
			continue
		}
		for _, v := range values {
			if s.holdsKey(v) {
				delete(h, name)
				break
			}
		}
	}
}

func (s *Scrubber) cookies(h http.Header) {
	var kept []string
	for _, line := range h.Values("Cookie") {
		for part := range strings.SplitSeq(line, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if name == "" || keyName(name) || s.holdsKey(name) || s.holdsKey(value) {
				continue
			}
			kept = append(kept, name+"="+value)
		}
	}
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// ScrubQuery returns the query without keys. The order of the parameters stays.
func (s *Scrubber) ScrubQuery(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !s.parameterHoldsKey(part) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

func (s *Scrubber) parameterHoldsKey(part string) bool {
	name, value, _ := strings.Cut(part, "=")
	name, err := url.QueryUnescape(name)
	if err != nil {
		return true
	}
	value, err = url.QueryUnescape(value)
	if err != nil {
		return true
	}
	return keyName(name) || s.holdsKey(name) || s.holdsKey(value)
}

// PathHasKey reports whether the path holds a key.
func (s *Scrubber) PathHasKey(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part != "" && s.holdsKey(part) {
			return true
		}
	}
	return false
}

// BodyHasKey reports whether the body holds the presented key.
func (s *Scrubber) BodyHasKey(body []byte) bool {
	return s.secret != "" && strings.Contains(string(body), s.secret)
}
