//go:build knownred

package sycquota_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
)

// TestKnownRedCustomerAddedAgain guards against a spent limit that is full again after a configuration without the customer.
func TestKnownRedCustomerAddedAgain(t *testing.T) {
	limiter := sycquota.New(true, sycquota.Headroom{})
	limiter.Configure(0, limits(rate, burst))
	_, ok := limiter.Admit(0, "c", burst)
	must.True(t, ok)
	limiter.Configure(100*time.Millisecond, nil)
	limiter.Configure(200*time.Millisecond, limits(rate, burst))
	_, ok = limiter.Admit(200*time.Millisecond, "c", burst)
	must.False(t, ok)
}
