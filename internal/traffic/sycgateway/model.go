package sycgateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
	"sycamorecart.example/sycamorecart/internal/traffic/sycapi"
)

// serveModel answers the calls below a model route.
func (x *exchange) serveModel(ctx context.Context) error {
	switch x.subpath {
	case "/v1/chat/completions":
		return x.serveCompletion(ctx, sycapi.Chat)
	case "/v1/completions":
		return x.serveCompletion(ctx, sycapi.Text)
	case "/v1/models":
		return x.listModels()
	}
	return sycapi.Invalid(http.StatusNotFound, "route_not_found", "a model route serves /v1/chat/completions, /v1/completions and /v1/models")
}

func (x *exchange) serveCompletion(ctx context.Context, format sycapi.Form) error {
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
	// The prompt was copied out of the body.
	x.body = nil
	if !x.allowsModel(req.Model()) {
		return sycapi.Invalid(http.StatusNotFound, string(sycwork.UnknownName), "the route does not serve model %q", req.Model())
	}
	return x.generate(ctx, req)
}

func (x *exchange) requireMethod(method string) error {
	if x.r.Method == method {
		return nil
	}
	x.w.Header().Set("Allow", method)
	return sycapi.Invalid(http.StatusMethodNotAllowed, "method_not_allowed", "use %s", method)
}

func (x *exchange) allowsModel(model string) bool {
	allowed := x.route.Models()
	return len(allowed) == 0 || slices.Contains(allowed, model)
}

// models lists the route's models that have a version.
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

// writeWhole writes an answer of known length.
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

func clientGone() *sycapi.Failure {
	return &sycapi.Failure{Status: statusClientClosed, Code: codeCancelled, Message: "the caller went away", Outcome: sycapi.Unknown}
}
