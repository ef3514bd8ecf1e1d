package sycproxy

import (
	"net/http"
	"strings"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// hopHeaders concern one connection only and are never passed on.
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

// StripHop removes the headers that concern one connection, and those that the
// Connection header names.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripOwn removes the headers that only the gateway may set.
func StripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, sycapi.HeaderPrefix) {
			delete(h, name)
		}
	}
}

// traceHeaders are replaced by the gateway's own trace context.
var traceHeaders = []string{"Traceparent", "Tracestate", "Baggage"}

// FilterRequestHeader returns the headers of a caller's request that an endpoint gets.
func FilterRequestHeader(h http.Header) http.Header {
	out := h.Clone()
	StripHop(out)
	StripOwn(out)
	for _, name := range traceHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// FilterResponseHeader returns the headers of an endpoint's answer that the caller gets.
func FilterResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	StripHop(out)
	StripOwn(out)
	out.Del(sycapi.HeaderRequestID)
	return out
}

// HasForgeableName reports names that collide once an endpoint treats "-" and "_"
// alike, as CGI-style servers do.
func HasForgeableName(h http.Header) bool {
	for name := range h {
		plain := strings.ReplaceAll(strings.ToLower(name), "_", "-")
		if strings.Contains(name, "_") && strings.HasPrefix(plain, strings.ToLower(sycapi.HeaderPrefix)) {
			return true
		}
	}
	return false
}
