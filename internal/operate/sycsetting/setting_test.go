package sycsetting_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
)

// good is a settings file without faults.
const good = `
[vm]
failure_domain = zakopane
[platform]
log = http://127.0.0.1:9000/
list = http://127.0.0.1:9000
`

// TestParseGood checks values from the file and defaults of settings that aren't in it.
func TestParseGood(t *testing.T) {
	s, err := sycsetting.Parse("good", []byte(good))
	must.NoError(t, err)
	must.Eq(t, "zakopane", s.FailureDomain())
	must.Eq(t, "http://127.0.0.1:9000", s.LogURL())
	must.Eq(t, "127.0.0.1:8082", s.Peers().String())
	must.False(t, s.PeerAddress().IsValid())
	s, err = sycsetting.Parse("good", []byte("[vm]\npeer_address = 192.0.2.1:80\n"+good))
	must.NoError(t, err)
	must.Eq(t, "192.0.2.1:80", s.PeerAddress().String())
}

// TestParseListsAllFaults guards against faults that are reported only after others have been
// mended, and checks that wrong combinations of settings are faults.
func TestParseListsAllFaults(t *testing.T) {
	tests := []struct {
		name  string
		extra string
		keys  []string
	}{
		{"unknown key", "[vm]\ncolour = red\n", []string{"colour"}},
		{"peer address", "[vm]\npeer_address = vm-1:80\n", []string{"peer_address"}},
		{"unknown section", "[moon]\nphase = full\n", []string{"phase"}},
		{"outside any section", "", nil},
		{
			"several at once",
			"[log]\nlevel = loud\n[listen]\ncallers = localhost:80\n[trace]\nsample = 2\n",
			[]string{"callers", "level", "sample"},
		},
		{"not a number", "[trace]\nsample = NaN\n", []string{"sample"}},
		{"certificate without key and authority", "[tls]\ncertificate = /dev/null/none\n", []string{"certificate", "certificate, key, authority"}},
		{
			"listeners off loopback without certificate and token",
			"[listen]\npeers = 192.0.2.1:1\noperators = 192.0.2.1:2\n",
			[]string{"certificate", "token"},
		},
		{"export without endpoint", "[trace]\nexport = otlp\n", []string{"endpoint"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := sycsetting.Parse("bad", []byte(good+tt.extra))
			if tt.keys == nil {
				must.NoError(t, err)
				return
			}
			var faults *sycsetting.Faults
			must.True(t, errors.As(err, &faults))
			var keys []string
			for _, f := range faults.List() {
				keys = append(keys, f.Key())
			}
			must.Eq(t, tt.keys, keys)
		})
	}
}
