// Package sycoperator is the HTTP handler of a VM's listener for operators. It serves
// health, readiness, metrics, status and, if enabled, profiles.
package sycoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/uptrace/bunrouter"
)

// Options configure the handler.
type Options struct {
	// Ready reports whether the VM can serve requests, and if not, the reason.
	Ready func() (bool, string)
	// Status returns the VM's status, which is sent as JSON.
	Status func() any
	// Token is the bearer token that all requests but those for health and readiness need.
	// If it is empty, no request needs a token.
	Token string
	// Pprof enables the profiles of net/http/pprof.
	Pprof bool
}

// New returns the handler of the listener for operators.
func New(o Options) http.Handler {
	router := bunrouter.New()
	router.GET("/healthz", bunrouter.HTTPHandlerFunc(health))
	router.GET("/readyz", bunrouter.HTTPHandlerFunc(o.ready))
	router.GET("/metrics", o.requireToken(writeMetrics))
	router.GET("/v1/status", o.requireToken(o.status))
	if o.Pprof {
		router.GET("/debug/pprof/", o.requireToken(pprof.Index))
		router.GET("/debug/pprof/profile", o.requireToken(pprof.Profile))
		router.GET("/debug/pprof/trace", o.requireToken(pprof.Trace))
		router.GET("/debug/pprof/:name", o.requireToken(pprof.Index))
	}
	return router
}

// health serves the health check: a process that responds is healthy.
func health(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

// ready serves the readiness check, which the load balancer uses: status 200 if the VM can
// serve requests, otherwise 503 and the reason.
func (o Options) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := o.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// writeMetrics serves the process's metrics in the Prometheus text format.
func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

// status serves the VM's status as JSON.
func (o Options) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(o.Status())
}

// requireToken returns a handler that serves a request only if it has the operators'
// token or none is required.
func (o Options) requireToken(next http.HandlerFunc) bunrouter.HandlerFunc {
	return bunrouter.HTTPHandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.Token != "" && !hasToken(r.Header.Get("Authorization"), o.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

// hasToken reports whether an Authorization header holds the bearer token. Its time does
// not depend on where they differ.
func hasToken(header, token string) bool {
	got, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return false
	}
	a := sha256.Sum256([]byte(got))
	b := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
