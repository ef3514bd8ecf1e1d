package sycsetting

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// DefaultLogRetention is the log's retention where the settings name none.
const DefaultLogRetention = 24 * time.Hour

// entry documents and reads one setting.
type entry struct {
	section string
	key     string
	initial string
	allowed string
	parse   parser
}

func entries(s *Settings) []entry {
	return []entry{
		{"vm", "failure_domain", "", "must name the VM's failure domain", text(&s.failureDomain)},
		{"vm", "peer_address", "", "must be an IP address and port, or empty", optionalAddress(&s.peerAddress)},
		{"listen", "callers", "127.0.0.1:8080", "must be an IP address and port", address(&s.callers)},
		{"listen", "operators", "127.0.0.1:8081", "must be an IP address and port", address(&s.operators)},
		{"listen", "peers", "127.0.0.1:8082", "must be an IP address and port", address(&s.peers)},
		{"platform", "log", "", "must be an http or https URL", httpURL(&s.logURL, false)},
		{"platform", "list", "", "must be an http or https URL", httpURL(&s.listURL, false)},
		{"platform", "log_retention", DefaultLogRetention.String(), "must be a duration from 1m to 8760h", span(&s.logRetention, time.Minute, 8760*time.Hour)},
		{"platform", "list_lag", "5s", "must be a duration from 0s to 10m", span(&s.listLag, 0, 10*time.Minute)},
		{"tls", "certificate", "", "must be a readable file", file(&s.certificate)},
		{"tls", "key", "", "must be a readable file", file(&s.key)},
		{"tls", "authority", "", "must be a readable file", file(&s.authority)},
		{"operators", "token", "", "must be set unless the operators' listener is on loopback", optionalText(&s.operatorToken)},
		{"operators", "pprof", "false", "must be true or false", boolean(&s.pprof)},
		{"callers", "max_body_bytes", "8388608", "must be from 1024 to 1073741824", between(&s.maxBody, 1<<10, 1<<30)},
		{"callers", "max_header_bytes", "32768", "must be from 1024 to 1048576", between(&s.maxHeader, 1<<10, 1<<20)},
		{"callers", "max_idle_connections", "10000", "must be from 1 to 1000000", between(&s.maxIdle, 1, 1000000)},
		{"limits", "hold", "500ms", "must be a duration from 0s to 10s", span(&s.hold, 0, 10*time.Second)},
		{"routing", "policy", "prefix", "must be prefix, rendezvous, least_loaded or round_robin", oneOf(&s.policy, "prefix", "rendezvous", "least_loaded", "round_robin")},
		{"routing", "queue_depth", "1000", "must be from 1 to 100000", between(&s.queueDepth, 1, 100000)},
		{"drain", "settle", "3s", "must be a duration from 0s to 1m", span(&s.drainSettle, 0, time.Minute)},
		{"drain", "timeout", "0s", "must be a duration from 0s to 24h; 0s waits for every request", span(&s.drainTimeout, 0, 24*time.Hour)},
		{"log", "level", "info", "must be debug, info, warn or error", oneOf(&s.logLevel, "debug", "info", "warn", "error")},
		{"log", "format", "text", "must be text or json", oneOf(&s.logFormat, "text", "json")},
		{"trace", "export", "none", "must be none, log or otlp", oneOf(&s.traceExport, "none", "log", "otlp")},
		{"trace", "endpoint", "", "must be an http or https URL", httpURL(&s.traceEndpoint, true)},
		{"trace", "sample", "0.01", "must be a number from 0 to 1", fraction(&s.traceSample)},
	}
}

// Read reads and checks a settings file. It fails with *Faults when the file
// can be read but is wrong.
func Read(path string) (*Settings, error) {
	source, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return check(path, source)
}

// Parse reads and checks settings from memory; name stands for the file in errors.
func Parse(name string, data []byte) (*Settings, error) {
	source, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return check(name, source)
}

func check(name string, source *ini.File) (*Settings, error) {
	s := &Settings{}
	faults := &Faults{file: name}
	faults.each(source, entries(s))
	faults.together(s)
	if len(faults.list) > 0 {
		return nil, faults
	}
	return s, nil
}

// each reads the entries and notes those that are wrong or unknown.
func (f *Faults) each(source *ini.File, list []entry) {
	for _, e := range list {
		value := e.initial
		section := source.Section(e.section)
		if section.HasKey(e.key) {
			value = section.Key(e.key).String()
		}
		if !e.parse(value) {
			f.add(e.section, e.key, value, e.allowed)
		}
	}
	f.unknown(source, list)
}

func (f *Faults) add(section, key, value, allowed string) {
	f.list = append(f.list, Fault{section: section, key: key, value: value, allowed: allowed})
}

func (f *Faults) unknown(source *ini.File, list []entry) {
	known := map[[2]string]bool{}
	for _, e := range list {
		known[[2]string{e.section, e.key}] = true
	}
	for _, section := range source.Sections() {
		for _, key := range section.Keys() {
			if !known[[2]string{section.Name(), key.Name()}] {
				f.add(section.Name(), key.Name(), key.String(), "is not a known setting")
			}
		}
	}
}

// together checks the settings that depend on each other.
func (f *Faults) together(s *Settings) {
	set := 0
	for _, v := range []string{s.certificate, s.key, s.authority} {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		f.add("tls", "certificate, key, authority", "", "must be set all three or not at all")
	}
	if set == 0 && !loopback(s.peers) {
		f.add("tls", "certificate", "", "must be set unless the peers' listener is on loopback")
	}
	if s.operatorToken == "" && !loopback(s.operators) {
		f.add("operators", "token", "", "must be set unless the operators' listener is on loopback")
	}
	if s.traceExport == "otlp" && s.traceEndpoint == "" {
		f.add("trace", "endpoint", "", "must be set when export is otlp")
	}
}

func loopback(a netip.AddrPort) bool {
	return !a.IsValid() || a.Addr().IsLoopback()
}
