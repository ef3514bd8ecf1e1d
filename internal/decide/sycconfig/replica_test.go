package sycconfig_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// TestWindowIsBounded checks that a replica keeps the newest records only, within
// WindowRecords and WindowBytes.
func TestWindowIsBounded(t *testing.T) {
	cases := []struct {
		name    string
		size    int
		records int
		kept    int
	}{
		{"few", 100, 10, 10},
		{"many", 1, sycconfig.WindowRecords + 5, sycconfig.WindowRecords},
		{"large", sycrecord.MaxRecord, 200, sycconfig.WindowBytes / sycrecord.MaxRecord},
	}
	for _, c := range cases {
		replica := sycconfig.NewReplica(sycconfig.NewState())
		for i := range c.records {
			record := sycconfig.NewRecord(uint64(i), "", time.Time{}, make([]byte, c.size))
			must.SliceLen(t, 1, replica.Offer([]sycconfig.Record{record}))
		}
		first, kept := replica.Window(uint64(c.records-c.kept), c.records)
		must.EqOp(t, uint64(c.records-c.kept), first, must.Sprint(c.name))
		must.SliceLen(t, c.kept, kept, must.Sprint(c.name))
		_, dropped := replica.Window(first-1, 1)
		must.SliceEmpty(t, dropped, must.Sprint(c.name))
	}
}
