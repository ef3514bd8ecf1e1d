package sycfeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

var hold = sycfeed.DeletionDelay{AfterOutage: 2 * time.Second, NewDeletion: time.Second}

func rec(offset int64, key, value string) sycfeed.Record {
	return sycfeed.Record{Offset: offset, Key: key, Value: []byte(value)}
}

func keys(changes []sycfeed.Change) []string {
	var out []string
	for _, c := range changes {
		k := c.Key
		if c.Deleted {
			k = "-" + k
		}
		out = append(out, k)
	}
	return out
}

func TestOlderRecordsChangeNothing(t *testing.T) {
	f := sycfeed.New(hold)
	must.Eq(t, []string{"a", "b"}, keys(f.Apply(0, []sycfeed.Record{rec(4, "a", "new"), rec(5, "b", "x")}, 6)))
	must.Nil(t, f.Apply(0, []sycfeed.Record{rec(2, "a", "old")}, 3))
	must.Eq(t, int64(6), f.Next())
	must.Eq(t, []sycfeed.Record{rec(5, "b", "x")}, f.Since(5))
}

func TestReplaceDropsMissingKeys(t *testing.T) {
	f := sycfeed.New(hold)
	f.Apply(0, []sycfeed.Record{rec(4, "a", "x"), rec(5, "b", "x")}, 6)
	must.Eq(t, []string{"c", "-a"}, keys(f.Replace(0, []sycfeed.Record{rec(5, "b", "x"), rec(8, "c", "x")}, 9)))
	must.Eq(t, int64(9), f.Next())
}

func TestDropsWaitAfterAnOutage(t *testing.T) {
	tests := []struct {
		name string
		back bool
		want []string
	}{{"comes back", true, nil}, {"stays away", false, []string{"-a"}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := sycfeed.New(hold)
			f.Apply(0, []sycfeed.Record{rec(1, "a", "x")}, 2)
			f.OutageEnded(time.Second)
			must.Nil(t, f.Apply(time.Second, []sycfeed.Record{rec(2, "a", "")}, 3))
			if tt.back {
				f.Apply(2*time.Second, []sycfeed.Record{rec(3, "a", "y")}, 4)
			}
			must.Eq(t, tt.want, keys(f.ApplyDelayed(time.Second+hold.AfterOutage)))
		})
	}
}

// TestDropsAreNotHeldForLong has keys dropped at some time after an outage: those that were
// dropped in it may come back for as long as owners take, news wait for less.
func TestDropsAreNotHeldForLong(t *testing.T) {
	const returned = 10 * time.Second
	tests := []struct {
		name string
		at   time.Duration
		due  time.Duration
	}{
		{"in the outage", returned, returned + hold.AfterOutage},
		{"just after it", returned + 100*time.Millisecond, returned + 100*time.Millisecond + hold.NewDeletion},
		{"near the end of the hold", returned + hold.AfterOutage - 100*time.Millisecond, returned + hold.AfterOutage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := sycfeed.New(hold)
			f.Apply(0, []sycfeed.Record{rec(1, "a", "x")}, 2)
			f.OutageEnded(returned)
			must.Nil(t, f.Apply(tt.at, []sycfeed.Record{rec(2, "a", "")}, 3))
			must.Nil(t, f.ApplyDelayed(tt.due-1))
			must.Eq(t, []string{"-a"}, keys(f.ApplyDelayed(tt.due)))
		})
	}
}

// TestDroppedKeysAreForgotten has many keys come and go: memory stays bounded, and none of
// them comes back by an old record.
func TestDroppedKeysAreForgotten(t *testing.T) {
	const many = 20000
	f := sycfeed.New(hold)
	f.Apply(0, []sycfeed.Record{rec(0, "stays", "x")}, 1)
	offset := int64(1)
	for i := range many {
		key := fmt.Sprint("k", i)
		f.Apply(0, []sycfeed.Record{rec(offset, key, "x"), rec(offset+1, key, "")}, offset+2)
		offset += 2
	}
	must.Less(t, 4000, len(f.Since(0)))
	must.Nil(t, f.Apply(0, []sycfeed.Record{rec(1, "k0", "x"), rec(2*many-1, fmt.Sprint("k", many-1), "x")}, offset))
	must.Eq(t, []sycfeed.Record{rec(0, "stays", "x")}, f.Since(0)[:1])
	must.Eq(t, []string{"new", "stays"}, keys(f.Apply(0, []sycfeed.Record{rec(offset, "new", "x"), rec(offset+1, "stays", "y")}, offset+2)))
}
