// Package sycauth authenticates callers by their API key and removes keys from the
// requests that are forwarded to endpoints. Each key belongs to one customer.
package sycauth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
)

// KeyLookup returns the customer that a key belongs to, and whether the key is known.
// It's called with the key's SHA-256 hash in lower-case hexadecimal.
type KeyLookup func(hash string) (customer string, ok bool)

// Reason is the error code for a request that isn't authenticated.
type Reason string

// The reasons why a request isn't authenticated.
const (
	// NoKey means that the request has no key.
	NoKey Reason = "missing_key"
	// UnknownKey means that the key belongs to no customer.
	UnknownKey Reason = "invalid_key"
	// TwoKeys means that the request has several keys that differ.
	TwoKeys Reason = "conflicting_keys"
)

// Error reports that a request doesn't have exactly one valid key. It never contains
// the key.
type Error struct {
	// Reason is the error code.
	Reason Reason
}

// Error describes the reason to the caller.
func (e *Error) Error() string {
	switch e.Reason {
	case NoKey:
		return "the request carries no key; send Authorization: Bearer KEY"
	case TwoKeys:
		return "the request carries two different keys"
	}
	return "the key is unknown or no longer valid"
}

// Identity is the result of authenticating a request: the customer and the key.
type Identity struct {
	// customer is the customer that the key belongs to.
	customer string
	// hash is the key's SHA-256 hash in lower-case hexadecimal.
	hash string
	// secret is the key itself. It must not be logged or forwarded.
	secret string
}

// Customer returns the customer that the request's key belongs to. It's empty for the
// zero Identity.
func (i Identity) Customer() string { return i.customer }

// Valid reports whether the key still belongs to the customer. The zero Identity is
// not valid.
func (i Identity) Valid(lookup KeyLookup) bool {
	if i.hash == "" {
		return false
	}
	customer, ok := lookup(i.hash)
	return ok && customer == i.customer
}

// Identify authenticates a request by the key in its Authorization and X-Api-Key
// headers. If there are several keys, they must be equal. Its errors are of type
// *Error.
func Identify(h http.Header, lookup KeyLookup) (Identity, error) {
	secrets := keysInHeader(h)
	if len(secrets) == 0 {
		return Identity{}, &Error{NoKey}
	}
	for _, s := range secrets[1:] {
		if s != secrets[0] {
			return Identity{}, &Error{TwoKeys}
		}
	}
	id := Identity{secret: secrets[0], hash: hash(secrets[0])}
	customer, ok := lookup(id.hash)
	if !ok {
		return Identity{}, &Error{UnknownKey}
	}
	id.customer = customer
	return id, nil
}

// keysInHeader returns the keys in the Authorization and X-Api-Key headers.
func keysInHeader(h http.Header) []string {
	var secrets []string
	for _, v := range h.Values("Authorization") {
		if s := bearerKey(v); s != "" {
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

// bearerKey returns the key in an Authorization header. A value without a scheme is
// taken as the key. With a scheme other than Bearer, the whole value is returned,
// which is then rejected as an unknown key.
func bearerKey(v string) string {
	scheme, token, found := strings.Cut(strings.TrimSpace(v), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(v)
	}
	return strings.TrimSpace(token)
}

// hash returns the key's SHA-256 hash in lower-case hexadecimal.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keyNames are the usual names of headers, query parameters and cookies that carry
// keys, in canonical header form.
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

// isKeyName reports whether a header, query parameter or cookie of this name usually
// carries a key.
func isKeyName(name string) bool {
	return keyNames[http.CanonicalHeaderKey(name)]
}

// Scrubber finds and removes keys in a request that is forwarded to an endpoint.
type Scrubber struct {
	// lookup tells whether a word is any customer's key.
	lookup KeyLookup
	// secret is the request's own key.
	secret string
}

// NewScrubber returns a scrubber that finds the request's own key anywhere, and any
// customer's key where it stands as a separate word.
func NewScrubber(id Identity, lookup KeyLookup) *Scrubber {
	return &Scrubber{lookup: lookup, secret: id.secret}
}

// containsKey reports whether a value contains the request's own key, or any customer's
// key as a separate word.
func (s *Scrubber) containsKey(v string) bool {
	if s.secret != "" && strings.Contains(v, s.secret) {
		return true
	}
	for _, word := range strings.FieldsFunc(v, isSeparator) {
		if _, ok := s.lookup(hash(word)); ok {
			return true
		}
	}
	return false
}

// isSeparator reports whether the character separates words in a value.
func isSeparator(r rune) bool {
	return strings.ContainsRune(" \t,;=\"'&", r)
}

// ScrubHeader removes from h every header that usually carries a key or that contains
// one. Of the cookies, it removes only those with keys.
func (s *Scrubber) ScrubHeader(h http.Header) {
	for name, values := range h {
		if isKeyName(name) {
			delete(h, name)
			continue
		}
		if name == "Cookie" {
			s.scrubCookies(h)
			continue
		}
		for _, v := range values {
			if s.containsKey(v) {
				delete(h, name)
				break
			}
		}
	}
}

// scrubCookies removes the cookies that usually carry a key or that contain one.
func (s *Scrubber) scrubCookies(h http.Header) {
	var kept []string
	for _, line := range h.Values("Cookie") {
		for part := range strings.SplitSeq(line, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if name == "" || isKeyName(name) || s.containsKey(name) || s.containsKey(value) {
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

// ScrubQuery returns the raw query without the parameters that usually carry a key,
// contain one, or can't be decoded. The other parameters keep their order.
func (s *Scrubber) ScrubQuery(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !s.parameterHasKey(part) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// parameterHasKey reports whether a query parameter usually carries a key, contains
// one, or can't be decoded.
func (s *Scrubber) parameterHasKey(part string) bool {
	name, value, _ := strings.Cut(part, "=")
	name, err := url.QueryUnescape(name)
	if err != nil {
		return true
	}
	value, err = url.QueryUnescape(value)
	if err != nil {
		return true
	}
	return isKeyName(name) || s.containsKey(name) || s.containsKey(value)
}

// PathHasKey reports whether any segment of the path contains the request's own key, or
// any customer's key as a separate word.
func (s *Scrubber) PathHasKey(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part != "" && s.containsKey(part) {
			return true
		}
	}
	return false
}

// BodyHasKey reports whether the body contains the request's own key. Other customers'
// keys aren't looked for.
func (s *Scrubber) BodyHasKey(body []byte) bool {
	return s.secret != "" && strings.Contains(string(body), s.secret)
}
