package sycproxy

import (
	"net/http"
	"strings"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// hopHeaders are the hop-by-hop headers, which apply to a single connection and are
// never forwarded.
var hopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Http2-Settings",
	"Expect",
}

// StripHopByHop removes the hop-by-hop headers, including those that the Connection header
// lists.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripGatewayHeaders removes the headers whose names begin with "Sycamorecart-", which only
// the gateway may set.
func StripGatewayHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, sycapi.HeaderPrefix) {
			delete(h, name)
		}
	}
}

// traceHeaders carry the caller's trace context, which the gateway replaces by its own.
var traceHeaders = []string{"Traceparent", "Tracestate", "Baggage"}

// FilterRequestHeader returns the headers of a caller's request that are forwarded to
// an endpoint. Hop-by-hop headers, the gateway's own, the trace context and
// Content-Length are left out.
func FilterRequestHeader(h http.Header) http.Header {
	out := h.Clone()
	StripHopByHop(out)
	StripGatewayHeaders(out)
	for _, name := range traceHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// FilterResponseHeader returns the headers of an endpoint's response that are returned
// to the caller. Hop-by-hop headers, the gateway's own and the request's id are left
// out.
func FilterResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	StripHopByHop(out)
	StripGatewayHeaders(out)
	out.Del(sycapi.HeaderRequestID)
	return out
}

// HasForgeableName reports whether a header's name, with "_" read as "-", begins with
// "Sycamorecart-". CGI-style servers treat the two characters alike, so a caller
// could use such a name to forge one of the gateway's headers.
func HasForgeableName(h http.Header) bool {
	for name := range h {
		normalized := strings.ReplaceAll(strings.ToLower(name), "_", "-")
		if strings.Contains(name, "_") && strings.HasPrefix(normalized, strings.ToLower(sycapi.HeaderPrefix)) {
			return true
		}
	}
	return false
}
