package sycfeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

// delay is the deletion delay of the tests.
var delay = sycfeed.DeletionDelay{AfterOutage: 2 * time.Second, NewDeletion: time.Second}

// at returns a position in era 0.
func at(offset int64) sycfeed.Position { return sycfeed.Position{Offset: offset} }

// rec returns a record. An empty value deletes the key.
func rec(offset int64, key, value string) sycfeed.Record {
	return sycfeed.Record{Position: at(offset), Key: key, Value: []byte(value)}
}

// keys returns the keys of changes, with a minus sign before deleted keys.
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

// TestOlderRecordsChangeNothing checks that a record with a lower offset is ignored.
func TestOlderRecordsChangeNothing(t *testing.T) {
	topic := sycfeed.New(delay)
	must.Eq(t, []string{"a", "b"}, keys(topic.Apply(0, []sycfeed.Record{rec(4, "a", "new"), rec(5, "b", "x")}, at(6))))
	must.Nil(t, topic.Apply(0, []sycfeed.Record{rec(2, "a", "old")}, at(3)))
	must.Eq(t, at(6), topic.Next())
	must.Eq(t, []sycfeed.Record{rec(5, "b", "x")}, topic.Since(at(5)))
}

// TestReplaceDeletesMissingKeys checks that Replace deletes the keys that are missing from
// the records.
func TestReplaceDeletesMissingKeys(t *testing.T) {
	topic := sycfeed.New(delay)
	topic.Apply(0, []sycfeed.Record{rec(4, "a", "x"), rec(5, "b", "x")}, at(6))
	must.Eq(t, []string{"c", "-a"}, keys(topic.Replace(0, []sycfeed.Record{rec(5, "b", "x"), rec(8, "c", "x")}, at(9))))
	must.Eq(t, at(9), topic.Next())
}

// TestDeletionsAreDelayedAfterAnOutage checks that a key's deletion after an outage is
// applied after the delay, unless the key was written again.
func TestDeletionsAreDelayedAfterAnOutage(t *testing.T) {
	tests := []struct {
		name string
		// rewritten is set if the owner writes the key again during the delay.
		rewritten bool
		want      []string
	}{{"written again", true, nil}, {"not written again", false, []string{"-a"}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			topic := sycfeed.New(delay)
			topic.Apply(0, []sycfeed.Record{rec(1, "a", "x")}, at(2))
			topic.OutageEnded(time.Second)
			must.Nil(t, topic.Apply(time.Second, []sycfeed.Record{rec(2, "a", "")}, at(3)))
			if tt.rewritten {
				topic.Apply(2*time.Second, []sycfeed.Record{rec(3, "a", "y")}, at(4))
			}
			must.Eq(t, tt.want, keys(topic.ApplyDelayed(time.Second+delay.AfterOutage)))
		})
	}
}

// TestDelayOfDeletions checks when a deletion is applied that comes during the delay after
// an outage. Deletions made during the outage wait for the whole delay, later deletions
// at most for NewDeletion.
func TestDelayOfDeletions(t *testing.T) {
	const ended = 10 * time.Second
	tests := []struct {
		name string
		// at is when the deletion comes, and due when it must be applied.
		at  time.Duration
		due time.Duration
	}{
		{"in the outage", ended, ended + delay.AfterOutage},
		{"just after it", ended + 100*time.Millisecond, ended + 100*time.Millisecond + delay.NewDeletion},
		{"near the end of the delay", ended + delay.AfterOutage - 100*time.Millisecond, ended + delay.AfterOutage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			topic := sycfeed.New(delay)
			topic.Apply(0, []sycfeed.Record{rec(1, "a", "x")}, at(2))
			topic.OutageEnded(ended)
			must.Nil(t, topic.Apply(tt.at, []sycfeed.Record{rec(2, "a", "")}, at(3)))
			must.Nil(t, topic.ApplyDelayed(tt.due-1))
			must.Eq(t, []string{"-a"}, keys(topic.ApplyDelayed(tt.due)))
		})
	}
}

// TestOldDeletionsAreDiscarded checks that many created and deleted keys take bounded memory,
// and that an old record doesn't restore a deleted key.
func TestOldDeletionsAreDiscarded(t *testing.T) {
	const count = 20000
	topic := sycfeed.New(delay)
	topic.Apply(0, []sycfeed.Record{rec(0, "stays", "x")}, at(1))
	offset := int64(1)
	for i := range count {
		key := fmt.Sprint("k", i)
		topic.Apply(0, []sycfeed.Record{rec(offset, key, "x"), rec(offset+1, key, "")}, at(offset+2))
		offset += 2
	}
	must.Less(t, 4000, len(topic.Since(at(0))))
	must.Nil(t, topic.Apply(0, []sycfeed.Record{rec(1, "k0", "x"), rec(2*count-1, fmt.Sprint("k", count-1), "x")}, at(offset)))
	must.Eq(t, []sycfeed.Record{rec(0, "stays", "x")}, topic.Since(at(0))[:1])
	must.Eq(t, []string{"new", "stays"}, keys(topic.Apply(0, []sycfeed.Record{rec(offset, "new", "x"), rec(offset+1, "stays", "y")}, at(offset+2))))
}

// TestLateRecordOfADeletedKeyBringsNothingBack guards against a key that comes back for good: an answer that was
// under way while a snapshot was applied tells its record, and the deletion after it is never read.
func TestLateRecordOfADeletedKeyBringsNothingBack(t *testing.T) {
	late := []sycfeed.Record{rec(102, "gone", "x")}
	kept := []sycfeed.Record{rec(50, "kept", "x")}
	for _, first := range []bool{false, true} {
		topic := sycfeed.New(sycfeed.DeletionDelay{})
		if !first {
			topic.Apply(0, nil, at(100))
		}
		must.SliceLen(t, 1, topic.Replace(0, kept, at(120)))
		must.SliceEmpty(t, topic.Apply(0, late, at(103)))
		must.SliceLen(t, 1, topic.Apply(0, []sycfeed.Record{rec(120, "gone", "y")}, at(121)))
	}
	fresh := sycfeed.New(sycfeed.DeletionDelay{})
	must.SliceLen(t, 1, fresh.Apply(0, kept, at(120)))
	must.SliceEmpty(t, fresh.Apply(0, late, at(103)))
}
