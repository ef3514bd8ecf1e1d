package sycrelay

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/traffic/sycbudget"
)

// defaultBodyLimit limits the bytes of a request's body if the configuration names no limit.
const defaultBodyLimit = 4 << 20

// memoryRetryAfter is the time after which a caller may try again whose body found no memory. Some of the bodies in
// transit have ended by then: one of the default limit takes 3.4 s on a link of 10 Mbit/s.
const memoryRetryAfter = time.Second

// serverDiscards is the length of a request's body that net/http reads by itself before it sends an answer,
// if the handler hasn't read it.
const serverDiscards = 256 << 10

// admit finds the call's route, customer, service and deadline. It rejects the call and
// returns false if this VM has no configuration yet, no route matches the call, or the call
// needs a key and no customer has the call's.
func (x *exchange) admit() bool {
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter)
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
	timeout := defaultTimeout
	if x.call.Timeout > 0 {
		timeout = x.call.Timeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	x.age = x.relay.ages.observe(x.route.Name, x.call.Timeout)
	return true
}

// authorize finds the customer by the call's key and sets the call's cost. It rejects the call
// and returns false if the call needs a key and no customer has the call's. A call needs a key
// if the configuration requires keys and the route isn't public.
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

// readBody reads the call's body. It rejects the call and returns false if the body is too
// large or there is no memory for it.
func (x *exchange) readBody(req *http.Request) bool {
	limit := x.bodyLimit()
	x.unread = nil
	if req.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if req.ContentLength == 0 {
		return true
	}
	x.transfer = x.openTransfer()
	body, err := x.transfer.ReadAll(x.ctx, http.MaxBytesReader(x.writer, req.Body, limit), req.ContentLength)
	var tooLarge *http.MaxBytesError
	var short *sycbudget.ShortError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.As(err, &short):
		x.refuseBody(short)
	case err != nil:
		x.abort(x.goneReason(), "", 0)
	default:
		x.body = body
		return true
	}
	return false
}

// openTransfer starts the transfer of the caller's body. If the budget ends it, the connection's reads fail.
func (x *exchange) openTransfer() *sycbudget.Transfer {
	control := http.NewResponseController(x.writer)
	end := func() { _ = control.SetReadDeadline(time.Now()) }
	return x.relay.budget.Open(end, x.owners()...)
}

// owners returns those whose share of the budget the call is charged to: the caller's address and the customer.
func (x *exchange) owners() []string {
	host, _, _ := net.SplitHostPort(x.remote)
	owners := []string{"address " + host}
	if x.customer != "" {
		owners = append(owners, "customer "+x.customer)
	}
	return owners
}

// refuseBody rejects a call for whose body there is no memory. Nothing of it has been sent to an endpoint. The rest
// of the body isn't read, so that the connection closes.
func (x *exchange) refuseBody(short *sycbudget.ShortError) {
	x.closeTransfers()
	// net/http must not wait for the rest of the body. This fails only if the connection is closed.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now())
	x.writer.Header().Set("Connection", "close")
	x.refusalFields = logrus.Fields{"bytes": short.Used, "limit": short.Limit}
	if short.Ended {
		x.refuse(http.StatusRequestTimeout, "body_stalled", memoryRetryAfter)
		return
	}
	x.refuse(http.StatusServiceUnavailable, "memory_short", memoryRetryAfter)
}

// closeTransfers releases the memory that the call is charged for.
func (x *exchange) closeTransfers() {
	for _, t := range []*sycbudget.Transfer{x.transfer, x.answers} {
		if t != nil {
			t.Close()
		}
	}
	x.transfer, x.answers = nil, nil
}

// headerTooLarge reports whether the request's line and header are over the limit of the configuration.
func (x *exchange) headerTooLarge(req *http.Request) bool {
	return x.config != nil && x.config.Limits().HeaderBytes > 0 && headerBytes(req) > x.config.Limits().HeaderBytes
}

// headerBytes returns the size of a request's line and header, without optional spaces and the header fields
// that net/http removes.
func headerBytes(req *http.Request) int {
	const lineEnd = len("\r\n")
	size := len(req.Method) + len(" ") + len(req.RequestURI) + len(" ") + len(req.Proto) + lineEnd
	if req.Host != "" {
		size += len("Host:") + len(req.Host) + lineEnd
	}
	for name, values := range req.Header {
		for _, v := range values {
			size += len(name) + len(":") + len(v) + lineEnd
		}
	}
	return size + lineEnd
}

// bodyLimit returns the longest body that a caller may send, in bytes.
func (x *exchange) bodyLimit() int64 {
	if x.config != nil && x.config.Limits().BodyBytes > 0 {
		return int64(x.config.Limits().BodyBytes)
	}
	return defaultBodyLimit
}

// discardBody reads the body of a rejected request, as much as a caller may send. Otherwise net/http closes
// the connection after the answer, and a caller that still sends may see a reset instead.
func (x *exchange) discardBody() {
	if x.unread != nil {
		t := x.openTransfer()
		defer t.Close()
		t.Discard(x.unread, x.bodyLimit()+1)
	}
}

// newRequest sets the request for which the next attempt's endpoint is selected.
func (x *exchange) newRequest() {
	x.request = &sycplace.Request{
		ID:        x.relay.fleet.NewID(),
		Service:   x.service,
		Model:     x.call.Model,
		Blocks:    x.blocks(),
		Prompt:    x.prompt(),
		Tokens:    x.call.Tokens,
		BodyBytes: len(x.body),
		Exclude:   x.tried,
		Priority:  x.route.Priority,
		Remaining: time.Until(x.deadline),
		Resumable: x.staysResumable(),
		Objective: x.route.Objective - time.Since(x.arrived),
		Age:       x.age,
		Begins:    !x.ran && !x.answering,
	}
}

// staysResumable reports whether another endpoint may still get the request after the next attempt. An
// engine isn't made to break off the last one.
func (x *exchange) staysResumable() bool {
	return x.route.Repeats() && x.attempts+1 < x.route.Attempts
}

// blocks returns the prompt's blocks, with the hashes under which engines' caches are tracked.
func (x *exchange) blocks() []sycplace.Block {
	if len(x.call.Blocks) == 0 {
		return nil
	}
	out := make([]sycplace.Block, 0, len(x.call.Blocks))
	scope := x.cacheScope()
	for _, b := range x.call.Blocks {
		out = append(out, sycplace.Block{Hash: sycplace.BlockHash(scope, b.Name), Tokens: b.Tokens})
	}
	return out
}

// cacheScope returns the name of the set of requests that may share cached blocks with this
// call.
func (x *exchange) cacheScope() string {
	return sycplace.CacheScope(x.customer, x.isolated, x.call.Model)
}
