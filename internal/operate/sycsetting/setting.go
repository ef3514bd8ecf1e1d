// Package sycsetting reads and checks the settings file of a VM, which is an INI file.
//
// There are two kinds of VM. A VM that finds the others by the platform's list of VMs and
// replicates its state through the platform's log has Settings. A VM of a fleet, which finds
// the others by seeds and reads the platform's metadata store, has the settings of Node.
//
// A fault is a setting that is unknown or has a wrong value. All faults of a file are
// reported at once, each with its section, key, value and the values allowed.
package sycsetting

import (
	"net/netip"
	"time"
)

// Settings holds the checked settings of a VM that uses the platform's log and VM list.
type Settings struct {
	// failureDomain names the failure domain in which the VM runs.
	failureDomain string
	// callers is the listen address for callers' requests.
	callers netip.AddrPort
	// operators is the listen address for operators' requests.
	operators netip.AddrPort
	// peers is the listen address for other VMs.
	peers netip.AddrPort
	// peerAddress is the address at which other VMs reach this VM. It is invalid if they
	// use the listen address.
	peerAddress netip.AddrPort
	// logURL is the base URL of the platform's log.
	logURL string
	// listURL is the base URL of the platform's list of VMs.
	listURL string
	// logRetention is how long the platform's log keeps records.
	logRetention time.Duration
	// listLag is the longest time that a change of the VMs takes to appear in the list.
	listLag time.Duration
	// certificate, key and authority are the paths of the files for TLS between VMs. They
	// are either all set or all empty.
	certificate, key, authority string
	// operatorToken is the bearer token for operators' requests; empty if none is needed.
	operatorToken string
	// pprof is set if Go's profiles are served to operators.
	pprof bool
	// maxBody is the largest size of a request's body, in bytes.
	maxBody int64
	// maxHeader is the largest size of a request's headers, in bytes.
	maxHeader int64
	// maxIdle is the largest number of callers' idle connections that are kept open.
	maxIdle int64
	// maxWait is how long a request may wait for a permit of the rate limiter.
	maxWait time.Duration
	// queueDepth is the largest number of requests that may wait for endpoints.
	queueDepth int64
	// policy names the policy by which endpoints are selected.
	policy string
	// drainSettle is how long a draining VM still accepts connections after it has left
	// the list.
	drainSettle time.Duration
	// drainTimeout is how long a drain may take; 0 waits for every running request.
	drainTimeout time.Duration
	// logLevel is the least severe level that is logged.
	logLevel string
	// logFormat is "text" or "json".
	logFormat string
	// traceExport is "none", "log" or "otlp".
	traceExport string
	// traceEndpoint is the URL to which spans are sent by OTLP over HTTP.
	traceEndpoint string
	// traceSample is the fraction of requests that are traced, from 0 to 1.
	traceSample float64
}

// FailureDomain returns the name of the failure domain in which the VM runs. The VMs of a
// failure domain can fail together.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Callers returns the listen address for callers' requests.
func (s *Settings) Callers() netip.AddrPort { return s.callers }

// Operators returns the listen address for operators' requests, such as the VM's status.
func (s *Settings) Operators() netip.AddrPort { return s.operators }

// Peers returns the listen address for other VMs.
func (s *Settings) Peers() netip.AddrPort { return s.peers }

// PeerAddress returns the address at which other VMs reach this VM if it isn't the listen
// address. It is invalid if other VMs use the listen address.
func (s *Settings) PeerAddress() netip.AddrPort { return s.peerAddress }

// LogURL returns the base URL of the platform's log, which holds the replicated state.
func (s *Settings) LogURL() string { return s.logURL }

// ListURL returns the base URL of the platform's list of VMs.
func (s *Settings) ListURL() string { return s.listURL }

// LogRetention returns how long the platform's log keeps records.
func (s *Settings) LogRetention() time.Duration { return s.logRetention }

// ListLag returns the longest time that a change of the VMs takes to appear in the platform's
// list.
func (s *Settings) ListLag() time.Duration { return s.listLag }

// Certificate returns the path of the VM's TLS certificate, or "" if peers don't use TLS.
func (s *Settings) Certificate() string { return s.certificate }

// Key returns the path of the certificate's private key, or "" if peers don't use TLS.
func (s *Settings) Key() string { return s.key }

// Authority returns the path of the CA certificates by which peers' certificates are checked,
// or "" if peers don't use TLS.
func (s *Settings) Authority() string { return s.authority }

// OperatorToken returns the bearer token that operators' requests must contain, or "" if they
// need none.
func (s *Settings) OperatorToken() string { return s.operatorToken }

// Pprof reports whether Go's profiles (net/http/pprof) are served to operators.
func (s *Settings) Pprof() bool { return s.pprof }

// MaxBody returns the largest size of a request's body that is accepted, in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// MaxHeader returns the largest size of a request's headers that is accepted, in bytes.
func (s *Settings) MaxHeader() int64 { return s.maxHeader }

// MaxIdle returns the number of callers' idle connections that are kept open.
func (s *Settings) MaxIdle() int64 { return s.maxIdle }

// MaxWait returns how long a request may wait for a permit of the rate limiter. The setting's
// key is "hold".
func (s *Settings) MaxWait() time.Duration { return s.maxWait }

// QueueDepth returns how many requests may wait for endpoints.
func (s *Settings) QueueDepth() int { return int(s.queueDepth) }

// Policy returns the name of the policy by which endpoints are selected, one of the policies
// of package sycroute.
func (s *Settings) Policy() string { return s.policy }

// DrainSettle returns how long a draining VM still accepts connections after it has left the
// platform's list, until load balancers have noticed.
func (s *Settings) DrainSettle() time.Duration { return s.drainSettle }

// DrainTimeout returns how long a drain may take. At 0 it waits for every running request.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// LogLevel returns the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns "text" or "json".
func (s *Settings) LogFormat() string { return s.logFormat }

// TraceExport returns where traces of requests are exported: "none", "log" or "otlp".
func (s *Settings) TraceExport() string { return s.traceExport }

// TraceEndpoint returns the URL to which spans are sent by OTLP over HTTP.
func (s *Settings) TraceEndpoint() string { return s.traceEndpoint }

// TraceSample returns the fraction of requests that are traced, from 0 to 1.
func (s *Settings) TraceSample() float64 { return s.traceSample }
