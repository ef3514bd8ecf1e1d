package syclist_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/port/syclist"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// TestListClient puts and replaces an entry, reads the list, and checks the error
// during an outage of the platform.
func TestListClient(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{ListLag: time.Nanosecond})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	client := syclist.New(syclist.Options{Address: platform.URL()})
	t.Cleanup(func() { must.NoError(t, client.Close()) })

	vm := syclist.VM{ID: "127.0.0.1:1", Address: "127.0.0.1:1", FailureDomain: "Volos", State: syclist.Live}
	must.NoError(t, client.Put(t.Context(), vm))
	vm.State = syclist.Leaving
	must.NoError(t, client.Put(t.Context(), vm))
	list, err := client.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []syclist.VM{vm}, list.VMs)
	must.False(t, list.AsOf.IsZero())

	platform.SetFaults(sycplatform.Faults{List: sycplatform.Fault{Out: true}})
	_, err = client.List(t.Context())
	var status *syclist.StatusError
	must.True(t, errors.As(err, &status))
	must.EqOp(t, 503, status.Status)
}
