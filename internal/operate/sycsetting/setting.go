// Package sycsetting reads and checks the settings of a VM.
//
// Settings are an INI file. Every fault is reported at once, each with its
// section, key, value and what is allowed.
package sycsetting

import (
	"net/netip"
	"time"
)

// Settings are the checked settings of a VM.
type Settings struct {
	failureDomain string
	callers       netip.AddrPort
	operators     netip.AddrPort
	peers         netip.AddrPort
	peerAddress   netip.AddrPort
	logURL        string
	listURL       string
	logRetention  time.Duration
	listLag       time.Duration
	// certificate, key and authority are either all set or all empty.
	certificate   string
	key           string
	authority     string
	operatorToken string
	pprof         bool
	maxBody       int64
	maxHeader     int64
	maxIdle       int64
	hold          time.Duration
	queueDepth    int64
	policy        string
	drainSettle   time.Duration
	drainTimeout  time.Duration
	logLevel      string
	logFormat     string
	traceExport   string
	traceEndpoint string
	traceSample   float64
}

// FailureDomain is where the VM runs.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Callers is the listen address for callers.
func (s *Settings) Callers() netip.AddrPort { return s.callers }

// Operators is the listen address for operators.
func (s *Settings) Operators() netip.AddrPort { return s.operators }

// Peers is the listen address for other VMs.
func (s *Settings) Peers() netip.AddrPort { return s.peers }

// PeerAddress is the address that other VMs reach the VM at where it isn't the
// one listened on; it is invalid where it is.
func (s *Settings) PeerAddress() netip.AddrPort { return s.peerAddress }

// LogURL is the base URL of the platform's log.
func (s *Settings) LogURL() string { return s.logURL }

// ListURL is the base URL of the platform's VM list.
func (s *Settings) ListURL() string { return s.listURL }

// LogRetention is how long the log keeps records.
func (s *Settings) LogRetention() time.Duration { return s.logRetention }

// ListLag is the longest time by which the VM list lags.
func (s *Settings) ListLag() time.Duration { return s.listLag }

// Certificate is the file of the VM's certificate; empty without TLS.
func (s *Settings) Certificate() string { return s.certificate }

// Key is the file of the certificate's private key; empty without TLS.
func (s *Settings) Key() string { return s.key }

// Authority is the file of the certificates that peers are checked against; empty without TLS.
func (s *Settings) Authority() string { return s.authority }

// OperatorToken must accompany operators' requests; empty asks for none.
func (s *Settings) OperatorToken() string { return s.operatorToken }

// Pprof reports whether profiles are served to operators.
func (s *Settings) Pprof() bool { return s.pprof }

// MaxBody is the largest request body, in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// MaxHeader is the largest request header, in bytes.
func (s *Settings) MaxHeader() int64 { return s.maxHeader }

// MaxIdle is the number of idle caller connections that are kept.
func (s *Settings) MaxIdle() int64 { return s.maxIdle }

// MaxWait is how long a request may wait for a rate token that is on its way.
func (s *Settings) MaxWait() time.Duration { return s.hold }

// QueueDepth is the number of requests that may wait for endpoints.
func (s *Settings) QueueDepth() int { return int(s.queueDepth) }

// Policy is the routing policy.
func (s *Settings) Policy() string { return s.policy }

// DrainSettle is how long the VM keeps accepting after it has left the list.
func (s *Settings) DrainSettle() time.Duration { return s.drainSettle }

// DrainTimeout bounds the wait for running requests; 0 waits for all.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// LogLevel is the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat is "text" or "json".
func (s *Settings) LogFormat() string { return s.logFormat }

// TraceExport is "none", "log" or "otlp".
func (s *Settings) TraceExport() string { return s.traceExport }

// TraceEndpoint is the URL that spans are sent to by OTLP over HTTP.
func (s *Settings) TraceEndpoint() string { return s.traceEndpoint }

// TraceSample is the fraction of requests that are traced, 0 to 1.
func (s *Settings) TraceSample() float64 { return s.traceSample }
