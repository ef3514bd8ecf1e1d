package sycsetting

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// DefaultLogRetention is how long the platform's log keeps records if the settings don't
// say.
const DefaultLogRetention = 24 * time.Hour

// entry declares one setting.
type entry struct {
	// section and key name the setting in the file.
	section, key string
	// defaultValue is the text of the value if the file doesn't set the key.
	defaultValue string
	// requirement says which values are allowed.
	requirement string
	// parse parses the value and stores it in the settings.
	parse parser
}

// entries declares the settings of a VM, whose values are stored in s.
func entries(s *Settings) []entry {
	return []entry{
		{"vm", "failure_domain", "", "must name the VM's failure domain", text(&s.failureDomain)},
		{"vm", "peer_address", "", "must be an IP address and port, or empty", optionalAddress(&s.peerAddress)},
		{"listen", "callers", "127.0.0.1:8080", "must be an IP address and port", address(&s.callers)},
		{"listen", "operators", "127.0.0.1:8081", "must be an IP address and port", address(&s.operators)},
		{"listen", "peers", "127.0.0.1:8082", "must be an IP address and port", address(&s.peers)},
		{"platform", "log", "", "must be an http or https URL", httpURL(&s.logURL, false)},
		{"platform", "list", "", "must be an http or https URL", httpURL(&s.listURL, false)},
		{"platform", "log_retention", DefaultLogRetention.String(), "must be a duration from 1m to 8760h", duration(&s.logRetention, time.Minute, 8760*time.Hour)},
		{"platform", "list_lag", "5s", "must be a duration from 0s to 10m", duration(&s.listLag, 0, 10*time.Minute)},
		{"tls", "certificate", "", "must be a readable file", file(&s.certificate)},
		{"tls", "key", "", "must be a readable file", file(&s.key)},
		{"tls", "authority", "", "must be a readable file", file(&s.authority)},
		{"operators", "token", "", "must be set unless the operators' listener is on loopback", optionalText(&s.operatorToken)},
		{"operators", "pprof", "false", "must be true or false", boolean(&s.pprof)},
		{"callers", "max_body_bytes", "8388608", "must be from 1024 to 1073741824", integer(&s.maxBody, 1<<10, 1<<30)},
		{"callers", "max_header_bytes", "32768", "must be from 1024 to 1048576", integer(&s.maxHeader, 1<<10, 1<<20)},
		{"callers", "max_idle_connections", "10000", "must be from 1 to 1000000", integer(&s.maxIdle, 1, 1000000)},
		{"limits", "hold", "500ms", "must be a duration from 0s to 10s", duration(&s.maxWait, 0, 10*time.Second)},
		{"routing", "policy", "prefix", "must be prefix, rendezvous, least_loaded or round_robin", oneOf(&s.policy, "prefix", "rendezvous", "least_loaded", "round_robin")},
		{"routing", "queue_depth", "1000", "must be from 1 to 100000", integer(&s.queueDepth, 1, 100000)},
		{"drain", "settle", "3s", "must be a duration from 0s to 1m", duration(&s.drainSettle, 0, time.Minute)},
		{"drain", "timeout", "0s", "must be a duration from 0s to 24h; 0s waits for every request", duration(&s.drainTimeout, 0, 24*time.Hour)},
		{"log", "level", "info", "must be debug, info, warn or error", oneOf(&s.logLevel, "debug", "info", "warn", "error")},
		{"log", "format", "text", "must be text or json", oneOf(&s.logFormat, "text", "json")},
		{"trace", "export", "none", "must be none, log or otlp", oneOf(&s.traceExport, "none", "log", "otlp")},
		{"trace", "endpoint", "", "must be an http or https URL", httpURL(&s.traceEndpoint, true)},
		{"trace", "sample", "0.01", "must be a number from 0 to 1", fraction(&s.traceSample)},
	}
}

// Read reads and checks a settings file. The error is a *Faults if the file can be read but
// its settings are wrong.
func Read(path string) (*Settings, error) {
	source, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return check(path, source)
}

// Parse parses and checks settings. Errors show name in place of a file's path.
func Parse(name string, data []byte) (*Settings, error) {
	source, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return check(name, source)
}

// check returns the settings of a parsed file, or its faults.
func check(name string, source *ini.File) (*Settings, error) {
	s := &Settings{}
	faults := &Faults{file: name}
	faults.readEntries(source, entries(s))
	faults.checkCombinations(s)
	if len(faults.list) > 0 {
		return nil, faults
	}
	return s, nil
}

// readEntries parses the declared settings of a file, and adds a fault for each wrong value
// and each unknown setting.
func (f *Faults) readEntries(source *ini.File, list []entry) {
	for _, e := range list {
		value := e.defaultValue
		section := source.Section(e.section)
		if section.HasKey(e.key) {
			value = section.Key(e.key).String()
		}
		if !e.parse(value) {
			f.add(e.section, e.key, value, e.requirement)
		}
	}
	f.addUnknown(source, list)
}

// add adds a fault to the list.
func (f *Faults) add(section, key, value, requirement string) {
	f.list = append(f.list, Fault{section: section, key: key, value: value, requirement: requirement})
}

// addUnknown adds a fault for each setting of a file that isn't declared.
func (f *Faults) addUnknown(source *ini.File, list []entry) {
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

// checkCombinations adds a fault for each combination of settings that isn't allowed.
func (f *Faults) checkCombinations(s *Settings) {
	tlsFiles := 0
	for _, v := range []string{s.certificate, s.key, s.authority} {
		if v != "" {
			tlsFiles++
		}
	}
	if tlsFiles != 0 && tlsFiles != 3 {
		f.add("tls", "certificate, key, authority", "", "must be set all three or not at all")
	}
	if tlsFiles == 0 && !loopback(s.peers) {
		f.add("tls", "certificate", "", "must be set unless the peers' listener is on loopback")
	}
	if s.operatorToken == "" && !loopback(s.operators) {
		f.add("operators", "token", "", "must be set unless the operators' listener is on loopback")
	}
	if s.traceExport == "otlp" && s.traceEndpoint == "" {
		f.add("trace", "endpoint", "", "must be set when export is otlp")
	}
}

// loopback reports whether an address is on loopback, so that only processes on the VM can
// reach it. It also returns true for an invalid address, which is reported as a fault of its
// own setting.
func loopback(a netip.AddrPort) bool {
	return !a.IsValid() || a.Addr().IsLoopback()
}
