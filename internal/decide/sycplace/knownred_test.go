//go:build knownred

package sycplace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
)

// TestKnownRedAddressOfALaterEndpoint guards against requests to an endpoint that has ended, because an entry of it was written late, though a later one is known at its address and answers that it is another.
func TestKnownRedAddressOfALaterEndpoint(t *testing.T) {
	s := sycplace.New(sycplace.Settings{FailureDomain: "z0", TokensPerSecond: 60000})
	s.Put(sycplace.Endpoint{ID: "later", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 2})
	s.Put(sycplace.Endpoint{ID: "ended", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 1})
	for id := range uint64(20) {
		target, refusal := s.Select(time.Minute, &sycplace.Request{ID: id, Service: "app", Remaining: time.Minute})
		must.Nil(t, refusal)
		must.Eq(t, "later", target.Endpoint.ID)
	}
}
