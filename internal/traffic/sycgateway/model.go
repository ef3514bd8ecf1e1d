package sycgateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// serveModel serves a request on a model route.
func (x *exchange) serveModel(ctx context.Context) error {
	switch x.subpath {
	case "/v1/chat/completions":
		return x.serveCompletion(ctx, sycapi.ChatCompletion)
	case "/v1/completions":
		return x.serveCompletion(ctx, sycapi.TextCompletion)
	case "/v1/models":
		return x.listModels()
	}
	return sycapi.Invalid(http.StatusNotFound, "route_not_found", "a model route serves /v1/chat/completions, /v1/completions and /v1/models")
}

// serveCompletion parses and serves a chat or text completion request.
func (x *exchange) serveCompletion(ctx context.Context, format sycapi.Kind) error {
	if err := x.requireMethod(http.MethodPost); err != nil {
		return err
	}
	req, err := sycapi.Parse(format, x.body, sycapi.Bounds{
		DefaultTokens: x.g.limits.DefaultTokens,
		MaxTokens:     x.g.limits.MaxTokens,
		MaxMessages:   x.g.limits.Messages,
	})
	if err != nil {
		return err
	}
	// The parsed request holds a copy of the prompt, so the body can be freed.
	x.body = nil
	if !x.allowsModel(req.Model()) {
		return sycapi.Invalid(http.StatusNotFound, string(sycwork.UnknownName), "the route does not serve model %q", req.Model())
	}
	return x.generate(ctx, req)
}

// requireMethod returns a failure if the request's method is a different one.
func (x *exchange) requireMethod(method string) error {
	if x.r.Method == method {
		return nil
	}
	x.w.Header().Set("Allow", method)
	return sycapi.Invalid(http.StatusMethodNotAllowed, "method_not_allowed", "use %s", method)
}

// allowsModel reports whether the route serves the model. A route that lists no
// models serves all.
func (x *exchange) allowsModel(model string) bool {
	allowed := x.route.Models()
	return len(allowed) == 0 || slices.Contains(allowed, model)
}

// listModels returns the names of the route's models that have at least one
// version.
func (x *exchange) listModels() error {
	if err := x.requireMethod(http.MethodGet); err != nil {
		return err
	}
	var names []string
	for _, v := range x.config.Versions() {
		if model := v.Value().Model(); x.allowsModel(model) {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	body, err := sycapi.Models(slices.Compact(names))
	if err != nil {
		return err
	}
	return x.writeResponse(http.StatusOK, "application/json", body)
}

// writeResponse writes a complete response with its Content-Length.
func (x *exchange) writeResponse(status int, contentType string, body []byte) error {
	h := x.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.responseStarted = true
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
	_, err := x.w.Write(body)
	if err != nil {
		return clientGone()
	}
	return nil
}

// clientGone returns the failure for a client that closed its connection or didn't
// accept the response.
func clientGone() *sycapi.Failure {
	return &sycapi.Failure{Status: statusClientClosed, Code: codeCancelled, Message: "the client closed the connection", Outcome: sycapi.Unknown}
}
