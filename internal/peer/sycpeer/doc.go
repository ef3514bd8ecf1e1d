// Package sycpeer implements the RPCs between the VMs of a deployment: a drpc
// server, and a client with a connection pool. They use TCP, and peers are
// addressed by IP number.
//
// A peer is another VM; its peer address is the IP number and port of its
// server. A call is one RPC. The package decides nothing about membership, rate
// limits or log records: the server passes each call to a handler interface.
//
// Terms in the calls:
//   - The log is the platform's append-only log. It has several streams of records,
//     and VMs keep copies of them.
//   - A snapshot is the state that results from a stream's records up to an offset.
//   - A permit of the rate limiter lets a customer's request pass. VMs lend permits
//     to each other.
//   - A digest is a summary of a VM's load, of the service given to each customer,
//     and of evidence (the counts by which a software version is judged).
//   - A claim is the record that lets one VM run the HTTP request with a given
//     idempotency key.
//
// Calls have deadlines, and the size of messages and the number of concurrent
// calls are limited. After a peer couldn't be reached, it's called again only
// after a jittered backoff.
package sycpeer

import (
	"fmt"
	"time"
)

// AddressError reports a peer address that must not be listened on or dialled:
// it isn't an IP number with a port, or isn't loopback although TLS is off.
type AddressError struct {
	// Address is the rejected address.
	Address string
	// Reason says which rule the address breaks.
	Reason string
}

// Error returns a message with the address and the reason.
func (e *AddressError) Error() string {
	return fmt.Sprintf("peer address %q: %s", e.Address, e.Reason)
}

// BackoffError reports a call that wasn't sent because earlier calls to the peer
// failed and its backoff hasn't ended.
type BackoffError struct {
	// Address is the peer's address.
	Address string
	// Wait is the time left until the peer may be called again.
	Wait time.Duration
}

// Error returns a message with the peer's address and the time left.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("peer %s failed recently, next call allowed in %s", e.Address, e.Wait)
}

// BusyError reports a call that wasn't sent because Limits.CallsPerPeer calls to
// the peer were in progress.
type BusyError struct {
	// Address is the peer's address.
	Address string
}

// Error returns a message with the peer's address.
func (e *BusyError) Error() string {
	return fmt.Sprintf("too many calls to peer %s in progress", e.Address)
}

// Limits bounds the time, memory and connections that calls may use, at the
// client and at the server. A zero field stands for its default.
type Limits struct {
	// CallTimeout limits the duration of a call at the client, of its handling
	// at the server, and of a TLS handshake at the server.
	CallTimeout time.Duration
	// MaxMessage is the size of the largest message received, in bytes.
	MaxMessage int
	// CallsPerPeer limits the client's calls in progress to one peer, and its
	// idle connections to the peer.
	CallsPerPeer int
	// ServerConns limits the server's open connections.
	ServerConns int
	// ServerCalls limits the calls that the server handles at once.
	ServerCalls int
	// MinBackoff sets the backoff of a peer: after n failures in a row, no call
	// is sent to it for a random time of up to 2^n times MinBackoff.
	MinBackoff time.Duration
	// MaxBackoff is the longest backoff of a peer.
	MaxBackoff time.Duration
	// IdleTimeout is the time after which the client closes an unused connection.
	IdleTimeout time.Duration
}

// Defaults returns a copy of the limits whose zero fields have their defaults.
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

// setDefault sets the field to value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
