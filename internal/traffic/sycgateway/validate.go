package sycgateway

import (
	"net/http"
	"net/url"
	"strings"

	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
	"sycamorecart.example/sycamorecart/internal/traffic/sycproxy"
)

// checkShape refuses requests that the gateway and an endpoint could
// understand differently.
func (g *Gateway) validateRequest(r *http.Request) *sycapi.Failure {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return sycapi.Invalid(http.StatusHTTPVersionNotSupported, "http_version", "HTTP/1.1 is needed, so that a cut answer can be told from a whole one")
	case !supportedMethod(r.Method):
		return sycapi.Invalid(http.StatusNotImplemented, "method_not_supported", "the method is not supported")
	case r.Header.Get("Upgrade") != "":
		return sycapi.Invalid(http.StatusBadRequest, "upgrade_not_supported", "protocol upgrades are not supported")
	case countHeaders(r.Header) > g.limits.Headers:
		return sycapi.Invalid(http.StatusRequestHeaderFieldsTooLarge, "too_many_headers", "the request has more than %d header fields", g.limits.Headers)
	case sycproxy.Forgeable(r.Header):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_header", "a header's name imitates one of the gateway's own")
	case !unambiguousLength(r):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_framing", "the length of the body is ambiguous")
	case !canonicalPath(r.URL):
		return sycapi.Invalid(http.StatusBadRequest, "invalid_path", "the path has empty, relative or encoded separator parts")
	}
	return nil
}

func supportedMethod(method string) bool {
	for _, m := range supportedMethods {
		if m == method {
			return true
		}
	}
	return false
}

func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// plainTransfer accepts a body of known length or one in chunks, and nothing
// that leaves two readings open.
func unambiguousLength(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 1 || len(r.Header["Transfer-Encoding"]) > 0 {
		return false
	}
	if len(r.TransferEncoding) == 0 {
		return true
	}
	return len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked" && r.Header.Get("Content-Length") == ""
}

// cleanPath refuses paths that different servers would resolve to different places.
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
