package sycwire

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// keepAliveMargin is how long before the endpoint's own keep-alive timeout an idle connection stops
// being reused.
const keepAliveMargin = 500 * time.Millisecond

var (
	// connsOpened counts the connections that were opened.
	connsOpened = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="opened"}`)
	// connsReused counts the requests that were sent on an idle connection.
	connsReused = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="reused"}`)
	// connsStale counts the idle connections that were closed instead of reused, as
	// they had expired, were closed by the endpoint or had unread bytes.
	connsStale = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="stale"}`)
	// connsRetired counts the connections that were closed after a response, since a late copy of
	// it or of an earlier one might not be told apart from a later response.
	connsRetired = metrics.GetOrCreateCounter(`sycamorecart_endpoint_connections_total{event="retired"}`)
)

// acquire returns an idle connection that can be reused for a request, or opens a new one.
func (c *Client) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		k := c.pop(r)
		if k == nil {
			return c.dial(ctx, r.Address)
		}
		if c.now() < k.expires && k.reusable() {
			connsReused.Inc()
			return k, nil
		}
		connsStale.Inc()
		_ = k.Close()
	}
}

// pop removes an idle connection that admits a request from the pool and returns it, or nil if there
// is none: the most recently used one that admits only requests of its class, or else of all.
func (c *Client) pop(r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, best := c.idle[r.Address], -1
	for i, k := range slices.Backward(list) {
		if !k.admits(r) {
			continue
		}
		if k.anonymous {
			best = i
			break
		}
		if best < 0 {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	k := list[best]
	c.idle[r.Address] = slices.Delete(list, best, best+1)
	return k
}

// release returns a connection to the pool after a response, or closes it if it can't be kept.
// header is the response's, which may name the endpoint's keep-alive timeout.
func (c *Client) release(address string, k *conn, header http.Header) {
	idleTime := c.settings.IdleTime
	if timeout, ok := keepAliveTimeout(header); ok {
		idleTime = timeout - keepAliveMargin
	}
	k.expires = c.now() + idleTime
	switch {
	case k.isSpent():
		connsRetired.Inc()
		_ = k.Close()
	case idleTime <= 0:
		_ = k.Close()
	default:
		c.keep(address, k)
	}
}

// keep returns a connection to the pool, or closes it if the pool is full or closed.
func (c *Client) keep(address string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= c.settings.IdlePerAddress {
		_ = k.Close()
		return
	}
	c.idle[address] = append(c.idle[address], k)
}

// keepAliveTimeout returns the timeout from the Keep-Alive header, which is in
// whole seconds, and whether the header names it.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
