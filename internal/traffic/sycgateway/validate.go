package sycgateway

import (
	"net/http"
	"net/url"
	"strings"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// validateRequest rejects requests that the gateway and an endpoint could parse
// differently, and requests that the gateway doesn't support.
func (g *Gateway) validateRequest(r *http.Request) *sycapi.Failure {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// An HTTP/1.0 client can't detect that a response was truncated.
		return sycapi.Invalid(http.StatusHTTPVersionNotSupported, "http_version", "HTTP/1.1 is needed, so that a cut answer can be told from a whole one")
	case !supportedMethod(r.Method):
		return sycapi.Invalid(http.StatusNotImplemented, "method_not_supported", "the method is not supported")
	case r.Header.Get("Upgrade") != "":
		return sycapi.Invalid(http.StatusBadRequest, "upgrade_not_supported", "protocol upgrades are not supported")
	case countHeaders(r.Header) > g.limits.Headers:
		return sycapi.Invalid(http.StatusRequestHeaderFieldsTooLarge, "too_many_headers", "the request has more than %d header fields", g.limits.Headers)
	case sycproxy.HasForgeableName(r.Header):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_header", "a header's name imitates one of the gateway's own")
	case !unambiguousLength(r):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_framing", "the length of the body is ambiguous")
	case !canonicalPath(r.URL):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_path", "the path has empty, relative or encoded separator parts")
	}
	return nil
}

// supportedMethod reports whether the gateway accepts the HTTP method.
func supportedMethod(method string) bool {
	for _, m := range supportedMethods {
		if m == method {
			return true
		}
	}
	return false
}

// countHeaders returns the number of header fields, counting each value of a
// repeated header.
func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// unambiguousLength reports whether the body has one known length or is chunked.
// Anything else could let the gateway and an endpoint disagree about where the
// request ends.
func unambiguousLength(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 1 || len(r.Header["Transfer-Encoding"]) > 0 {
		return false
	}
	if len(r.TransferEncoding) == 0 {
		return true
	}
	return len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked" && r.Header.Get("Content-Length") == ""
}

// canonicalPath reports whether all servers resolve the path in the same way. It
// rejects relative, empty and control parts, and escaped separators, dots and
// percent signs.
func canonicalPath(u *url.URL) bool {
	if u.Path == "" || u.Path[0] != '/' || u.Opaque != "" {
		return false
	}
	escaped := strings.ToLower(u.EscapedPath())
	for _, bad := range []string{"%2f", "%5c", "%00", "%2e", "%25", ";"} {
		if strings.Contains(escaped, bad) {
			return false
		}
	}
	for _, c := range u.Path {
		if c < ' ' || c == '\\' || c == 0x7f {
			return false
		}
	}
	parts := strings.Split(u.Path[1:], "/")
	for i, part := range parts {
		if part == "." || part == ".." {
			return false
		}
		if part == "" && i < len(parts)-1 {
			return false
		}
	}
	return true
}
