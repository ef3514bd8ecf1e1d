package sycsetting

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Node holds the checked settings of a VM of a fleet. A fleet is the set of VMs of one
// deployment. It reads its configuration from topics of the platform's metadata store.
// ReadNode and ParseNode set the fields.
type Node struct {
	// Name is the VM's name, which no other VM of the deployment has.
	Name string
	// FailureDomain names the failure domain in which the VM runs. The VMs of a failure
	// domain can fail together.
	FailureDomain string
	// FirstStart is set when the whole deployment starts for the first time, so that
	// there is no state of earlier VMs.
	FirstStart bool
	// Seeds lists the addresses of VMs that this VM contacts first.
	Seeds []string
	// Callers is the listen address for callers' requests.
	Callers netip.AddrPort
	// Readiness is the listen address for the load balancer's readiness checks.
	Readiness netip.AddrPort
	// Peers is the address at which the VM listens and other VMs reach it.
	Peers netip.AddrPort
	// Metrics is the listen address for metrics. It is invalid if metrics aren't served.
	Metrics netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// Memory is the process's memory limit, in MB.
	Memory int64
	// Cores is the processor time that the VM has, in cores, and Link the bandwidth of its
	// link in Mbit/s. Both are 0 if they aren't known.
	Cores float64
	Link  float64
	// Lease is the duration of the lease of the VM that acts for the whole fleet, such as
	// to order engines to load new weights.
	Lease time.Duration
	// ConfigWithin is the longest time from the announcement of a configuration until it
	// is in force.
	ConfigWithin time.Duration
	// EvacuateWithin is the longest time from the announcement of an evacuation until its failure
	// domain gets no more requests. 0 sets no bound besides ConfigWithin.
	EvacuateWithin time.Duration
	// DrainWithin is the longest time for which an endpoint may still get requests after
	// it has announced that it drains.
	DrainWithin time.Duration
	// WeightsWithin is the longest time for which requests may still begin on older
	// weights after newer ones were announced.
	WeightsWithin time.Duration
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
	// RetryShare is the fraction of a service's requests that may be retried, over all
	// VMs.
	RetryShare float64
	// RetryFloor is the number of retries that a service may have within ten seconds, the
	// window of the retry budget, however few requests there are. It counts over all VMs.
	RetryFloor float64
	// RolloutShare is the fraction of a service's requests that a new release may get
	// before the rollout has judged it good.
	RolloutShare float64
	// QuotaWindow is the length of the windows in which a customer may use QuotaSlack
	// beyond its rate and burst.
	QuotaWindow time.Duration
	// QuotaSlack is the cost that a customer may use in each window beyond its rate and
	// burst. The unit is that of the customer's limit.
	QuotaSlack float64
	// ColdSlack is how many requests a cold endpoint tolerates in a second beyond its service's rate.
	ColdSlack float64
	// Policy names the policy for the selection of engines, one of the policies of
	// package sycplace.
	Policy string
	// CrossDomainPrice is what a MB that crosses between failure domains must save in time to the first byte. 0
	// sets no price.
	CrossDomainPrice time.Duration
	// TokensPerSecond is how many prompt tokens an engine is assumed to compute in a
	// second. The same number is used for every engine.
	TokensPerSecond float64
	// FirstToken is the assumed time to the first token of an empty prompt on an idle
	// engine.
	FirstToken time.Duration
	// LogLevel is the least severe level that is logged.
	LogLevel string
	// LogFormat is "text" or "json".
	LogFormat string
}

// nodeEntries declares the settings of a VM of a fleet, whose values are stored in n.
func nodeEntries(n *Node) []entry {
	return []entry{
		{"vm", "name", "", "must name the VM", text(&n.Name)},
		{"vm", "failure_domain", "", "must name the VM's failure domain", text(&n.FailureDomain)},
		{"vm", "first_start", "false", "must be true or false", boolean(&n.FirstStart)},
		{"vm", "seeds", "", "must list IP addresses and ports", addresses(&n.Seeds)},
		{"vm", "memory_mb", "256", "must be from 32 to 1048576", integer(&n.Memory, 32, 1<<20)},
		{"vm", "cores", "0", "must be a number from 0 to 1024", number(&n.Cores, 0, 1024)},
		{"vm", "link_mbps", "0", "must be a number from 0 to 1000000", number(&n.Link, 0, 1e6)},
		{"listen", "callers", "", "must be an IP address and port", address(&n.Callers)},
		{"listen", "readiness", "", "must be an IP address and port", address(&n.Readiness)},
		{"listen", "peers", "", "must be an IP address and port", address(&n.Peers)},
		{"listen", "metrics", "", "must be an IP address and port, or empty", optionalAddress(&n.Metrics)},
		{"store", "address", "", "must be an IP address and port", address(&n.Store)},
		{"bounds", "lease", "3s", "must be a duration from 500ms to 10m", duration(&n.Lease, 500*time.Millisecond, 10*time.Minute)},
		{"bounds", "config", "2s", "must be a duration from 200ms to 10m", duration(&n.ConfigWithin, 200*time.Millisecond, 10*time.Minute)},
		{"bounds", "evacuate", "0s", "must be a duration from 0s to 10m", duration(&n.EvacuateWithin, 0, 10*time.Minute)},
		{"bounds", "drain", "2s", "must be a duration from 200ms to 10m", duration(&n.DrainWithin, 200*time.Millisecond, 10*time.Minute)},
		{"bounds", "weights", "8s", "must be a duration from 200ms to 1h", duration(&n.WeightsWithin, 200*time.Millisecond, time.Hour)},
		{"bounds", "grace", "8s", "must be a duration from 1s to 24h", duration(&n.Grace, time.Second, 24*time.Hour)},
		{"bounds", "retry_share", "0.2", "must be a number from 0 to 1", fraction(&n.RetryShare)},
		{"bounds", "retry_floor", "10", "must be a number from 0 to 1000000", number(&n.RetryFloor, 0, 1e6)},
		{"bounds", "rollout_share", "0.1", "must be a number from 0 to 1", fraction(&n.RolloutShare)},
		{"bounds", "quota_window", "8s", "must be a duration from 100ms to 1h", duration(&n.QuotaWindow, 100*time.Millisecond, time.Hour)},
		{"bounds", "quota_slack", "0", "must be a number from 0 to 1000000000", number(&n.QuotaSlack, 0, 1e9)},
		{"bounds", "cold_slack", "1", "must be a number from 0 to 1000", number(&n.ColdSlack, 0, 1000)},
		{"routing", "policy", "expected", "must be expected, rendezvous, least_loaded or round_robin", oneOf(&n.Policy, "expected", "rendezvous", "least_loaded", "round_robin")},
		{"routing", "cross_domain_price", "0s", "must be a duration from 0s to 1m", duration(&n.CrossDomainPrice, 0, time.Minute)},
		{"engines", "tokens_per_second", "50000", "must be a number from 1 to 1000000000", number(&n.TokensPerSecond, 1, 1e9)},
		{"engines", "first_token", "30ms", "must be a duration from 0s to 1m", duration(&n.FirstToken, 0, time.Minute)},
		{"log", "level", "info", "must be debug, info, warn or error", oneOf(&n.LogLevel, "debug", "info", "warn", "error")},
		{"log", "format", "json", "must be text or json", oneOf(&n.LogFormat, "text", "json")},
	}
}

// ReadNode reads and checks the settings file of a VM of a fleet. The error is a *Faults if
// the file can be read but its settings are wrong.
func ReadNode(path string) (*Node, error) {
	source, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return checkNode(path, source)
}

// ParseNode parses and checks the settings of a VM of a fleet. Errors show name in place of
// a file's path.
func ParseNode(name string, data []byte) (*Node, error) {
	source, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return checkNode(name, source)
}

// checkNode returns the settings of a parsed file, or its faults.
func checkNode(name string, source *ini.File) (*Node, error) {
	n := &Node{}
	faults := &Faults{file: name}
	faults.readEntries(source, nodeEntries(n))
	if len(faults.list) > 0 {
		return nil, faults
	}
	return n, nil
}
