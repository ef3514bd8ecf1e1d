package sycrelay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// admit finds the request's route and customer, or answers why it has none.
func (x *exchange) admit() bool {
	x.config = x.relay.fleet.Config()
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, "no_configuration", unknownRetry)
		return false
	}
	x.route = x.config.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "no_route")
		return false
	}
	x.priority = x.route.Priority
	if !x.authorize() {
		return false
	}
	x.service = x.route.Pick(float64(xxhash.Sum64String(x.call.ID)>>11) / (1 << 53))
	x.lastEvent = x.call.LastEvent
	left := defaultTimeout
	if x.call.Timeout > 0 {
		left = x.call.Timeout
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.until = x.arrived.Add(left)
	return true
}

func (x *exchange) authorize() bool {
	if x.route.Public || !x.config.KeyRequired() {
		return true
	}
	customer := x.config.CustomerByKey(x.call.Key)
	if customer == nil {
		x.fail(http.StatusUnauthorized, "unknown_key")
		return false
	}
	x.customer, x.isolated = customer.Name, customer.Isolated
	if customer.HasPriority {
		x.priority = customer.Priority
	}
	x.cost = 1
	if customer.ByTokens {
		x.cost = float64(customer.DefaultTokens)
		if x.call.HasTokens {
			x.cost = float64(x.call.Tokens + x.call.OutputTokens)
		}
	}
	return true
}

func (x *exchange) readBody(req *http.Request) bool {
	limit := int64(x.config.Limits().BodyBytes)
	if limit <= 0 {
		limit = 4 << 20
	}
	if req.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if err != nil {
		x.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// place prepares the next attempt's placement.
func (x *exchange) place() {
	x.request = &sycplace.Request{
		ID:        x.relay.fleet.NewID(),
		Service:   x.service,
		Model:     x.call.Model,
		Blocks:    x.parts(),
		Tokens:    x.call.Tokens,
		Exclude:   x.tried,
		Priority:  x.route.Priority,
		Remaining: time.Until(x.until),
		Resumable: x.route.Repeats(),
		Objective: x.route.Objective - time.Since(x.arrived),
	}
}

// parts returns the prompt's parts.
func (x *exchange) parts() []sycplace.Block {
	if len(x.call.Blocks) == 0 {
		return nil
	}
	out := make([]sycplace.Block, 0, len(x.call.Blocks))
	wall := x.wall()
	for _, p := range x.call.Blocks {
		out = append(out, sycplace.Block{Hash: sycplace.BlockHash(wall, p.Name), Tokens: p.Tokens})
	}
	return out
}

// wall names who may share the request's cached parts.
func (x *exchange) wall() string { return sycplace.CacheScope(x.customer, x.isolated, x.call.Model) }
