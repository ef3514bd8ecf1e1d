// Package sycpeer carries the calls between VMs: a drpc server, and a client
// with a connection pool, over TCP by IP number.
//
// It holds no policy on membership, rates or records; those reach it through
// the handler interfaces. Calls have deadlines, message sizes and the number
// of concurrent calls are bounded, and a peer that cannot be reached is dialled
// again only after a jittered backoff.
package sycpeer

import (
	"fmt"
	"time"
)

// AddressError reports a peer address that must not be listened on or dialled.
type AddressError struct {
	Address string
	Reason  string
}

// Error names the address and the reason.
func (e *AddressError) Error() string {
	return fmt.Sprintf("peer address %q: %s", e.Address, e.Reason)
}

// BackoffError reports a call that was not tried because its peer failed lately.
type BackoffError struct {
	Address string
	// Wait is the time until the peer is tried again.
	Wait time.Duration
}

// Error names the peer and the time until the next try.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("peer %s failed lately, next try in %s", e.Address, e.Wait)
}

// BusyError reports a call that found too many calls in progress.
type BusyError struct {
	Address string
}

// Error names the peer.
func (e *BusyError) Error() string {
	return fmt.Sprintf("too many calls to peer %s in progress", e.Address)
}

// Limits bounds the resources that calls may use.
type Limits struct {
	// CallTimeout bounds a call at the client and its handling at the server.
	CallTimeout time.Duration
	// MaxMessage is the largest message in bytes.
	MaxMessage int
	// CallsPerPeer bounds the calls in progress to one peer.
	CallsPerPeer int
	// ServerConns bounds the connections that the server holds open.
	ServerConns int
	// ServerCalls bounds the calls that the server handles at once.
	ServerCalls int
	// MinBackoff and MaxBackoff bound the wait after failures of a peer.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// IdleTimeout closes a pooled connection that is not used.
	IdleTimeout time.Duration
}

// Defaults returns the limits with unset fields filled in.
func (l Limits) Defaults() Limits {
	setDefault(&l.CallTimeout, time.Second)
	setDefault(&l.MaxMessage, 2<<20)
	setDefault(&l.CallsPerPeer, 8)
	setDefault(&l.ServerConns, 1024)
	setDefault(&l.ServerCalls, 256)
	setDefault(&l.MinBackoff, 50*time.Millisecond)
	setDefault(&l.MaxBackoff, time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
