// Package sycoperator serves the operators' listener: health, readiness,
// metrics, status and, if switched on, profiles.
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

// Options are what the listener shows.
type Options struct {
	// Ready reports whether the VM may get traffic, and why not.
	Ready func() (bool, string)
	// Status returns a value that is sent as JSON.
	Status func() any
	// Token must accompany every request but the health checks; empty asks for none.
	Token string
	// Pprof switches profiles on.
	Pprof bool
}

// New returns the operators' handler.
func New(o Options) http.Handler {
	router := bunrouter.New()
	router.GET("/healthz", bunrouter.HTTPHandlerFunc(health))
	router.GET("/readyz", bunrouter.HTTPHandlerFunc(o.ready))
	router.GET("/metrics", o.guard(writeMetrics))
	router.GET("/v1/status", o.guard(o.status))
	if o.Pprof {
		router.GET("/debug/pprof/", o.guard(pprof.Index))
		router.GET("/debug/pprof/profile", o.guard(pprof.Profile))
		router.GET("/debug/pprof/trace", o.guard(pprof.Trace))
		router.GET("/debug/pprof/:name", o.guard(pprof.Index))
	}
	return router
}

func health(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

func (o Options) ready(w http.ResponseWriter, _ *http.Request) {
	ready, why := o.Ready()
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

func (o Options) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(o.Status())
}

// guard asks for the operators' token, comparing in constant time.
func (o Options) guard(next http.HandlerFunc) bunrouter.HandlerFunc {
	return bunrouter.HTTPHandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.Token != "" && !sameToken(r.Header.Get("Authorization"), o.Token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(w, r)
	})
}

func sameToken(header, token string) bool {
	got, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return false
	}
	a := sha256.Sum256([]byte(got))
	b := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
