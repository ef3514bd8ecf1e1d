package sycsetting

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Node holds the checked settings of a VM that joins a fleet whose
// configuration lies in a shared log. Its fields are set by ReadNode only.
type Node struct {
	// Name is the VM's name.
	Name          string
	FailureDomain string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	Seeds      []string
	Callers    netip.AddrPort
	Readiness  netip.AddrPort
	Peers      netip.AddrPort
	Metrics    netip.AddrPort
	Store      netip.AddrPort
	// Memory is the most that the process may use, in MB.
	Memory int64
	Lease  time.Duration
	// ConfigWithin, DrainWithin and WeightsWithin are how long after they were named a
	// configuration may still not be in force, a leaving endpoint may get requests, and
	// requests may begin on older weights.
	ConfigWithin, DrainWithin, WeightsWithin time.Duration
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
	// RetryShare and RetryFloor bound the retries over all VMs.
	RetryShare float64
	RetryFloor float64
	// RolloutShare is the part of requests that a release may get before it has
	// proved itself.
	RolloutShare float64
	// QuotaWindow and QuotaSlack bound what a customer may use beyond its limit.
	QuotaWindow time.Duration
	QuotaSlack  float64
	// Policy chooses among engines.
	Policy string
	// TokensPerSecond is how fast engines read prompts.
	TokensPerSecond float64
	// FirstToken is the time to the first token of an empty prompt.
	FirstToken time.Duration
	LogLevel   string
	LogFormat  string
}

func nodeEntries(n *Node) []entry {
	return []entry{
		{"vm", "name", "", "must name the VM", text(&n.Name)},
		{"vm", "failure_domain", "", "must name the VM's failure domain", text(&n.FailureDomain)},
		{"vm", "first_start", "false", "must be true or false", boolean(&n.FirstStart)},
		{"vm", "seeds", "", "must list IP addresses and ports", addresses(&n.Seeds)},
		{"vm", "memory_mb", "256", "must be from 32 to 1048576", between(&n.Memory, 32, 1<<20)},
		{"listen", "callers", "", "must be an IP address and port", address(&n.Callers)},
		{"listen", "readiness", "", "must be an IP address and port", address(&n.Readiness)},
		{"listen", "peers", "", "must be an IP address and port", address(&n.Peers)},
		{"listen", "metrics", "", "must be an IP address and port, or empty", optionalAddress(&n.Metrics)},
		{"store", "address", "", "must be an IP address and port", address(&n.Store)},
		{"bounds", "lease", "3s", "must be a duration from 500ms to 10m", span(&n.Lease, 500*time.Millisecond, 10*time.Minute)},
		{"bounds", "config", "2s", "must be a duration from 200ms to 10m", span(&n.ConfigWithin, 200*time.Millisecond, 10*time.Minute)},
		{"bounds", "drain", "2s", "must be a duration from 200ms to 10m", span(&n.DrainWithin, 200*time.Millisecond, 10*time.Minute)},
		{"bounds", "weights", "8s", "must be a duration from 200ms to 1h", span(&n.WeightsWithin, 200*time.Millisecond, time.Hour)},
		{"bounds", "grace", "8s", "must be a duration from 1s to 24h", span(&n.Grace, time.Second, 24*time.Hour)},
		{"bounds", "retry_share", "0.2", "must be a number from 0 to 1", fraction(&n.RetryShare)},
		{"bounds", "retry_floor", "10", "must be a number from 0 to 1000000", number(&n.RetryFloor, 0, 1e6)},
		{"bounds", "rollout_share", "0.1", "must be a number from 0 to 1", fraction(&n.RolloutShare)},
		{"bounds", "quota_window", "8s", "must be a duration from 100ms to 1h", span(&n.QuotaWindow, 100*time.Millisecond, time.Hour)},
		{"bounds", "quota_slack", "0", "must be a number from 0 to 1000000000", number(&n.QuotaSlack, 0, 1e9)},
		{"routing", "policy", "expected", "must be expected, rendezvous, least_loaded or round_robin", oneOf(&n.Policy, "expected", "rendezvous", "least_loaded", "round_robin")},
		{"engines", "tokens_per_second", "50000", "must be a number from 1 to 1000000000", number(&n.TokensPerSecond, 1, 1e9)},
		{"engines", "first_token", "30ms", "must be a duration from 0s to 1m", span(&n.FirstToken, 0, time.Minute)},
		{"log", "level", "info", "must be debug, info, warn or error", oneOf(&n.LogLevel, "debug", "info", "warn", "error")},
		{"log", "format", "json", "must be text or json", oneOf(&n.LogFormat, "text", "json")},
	}
}

// ReadNode reads and checks a settings file. It fails with *Faults when the file
// can be read but is wrong.
func ReadNode(path string) (*Node, error) {
	source, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return checkNode(path, source)
}

// ParseNode reads and checks settings from memory; name stands for the file in
// errors.
func ParseNode(name string, data []byte) (*Node, error) {
	source, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return checkNode(name, source)
}

func checkNode(name string, source *ini.File) (*Node, error) {
	n := &Node{}
	faults := &Faults{file: name}
	faults.each(source, nodeEntries(n))
	if len(faults.list) > 0 {
		return nil, faults
	}
	return n, nil
}
