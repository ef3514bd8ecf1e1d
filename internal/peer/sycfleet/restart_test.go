package sycfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

// TestNewsForAFormerProcessAreNotTheWholeTopic guards against a VM that starts again at its address and knows only a
// few endpoints: another VM, which takes it for its former process, sends it the newest records only, and the VM took
// those for all there are, also against its own snapshot of the log.
func TestNewsForAFormerProcessAreNotTheWholeTopic(t *testing.T) {
	const keys = 8
	at := func(era, offset int64) sycfeed.Position { return sycfeed.Position{Era: era, Offset: offset} }
	for _, era := range []int64{0, 2} {
		for _, snapshotFirst := range []bool{false, true} {
			t.Run(fmt.Sprint("era ", era, ", snapshot first ", snapshotFirst), func(t *testing.T) {
				var records []sycfeed.Record
				for i := range int64(keys) {
					records = append(records, sycfeed.Record{Position: at(era, i), Key: fmt.Sprint("vm", 100+i), Value: []byte("x")})
				}
				n := newNetwork(t, 3)
				for _, f := range n.vms {
					f.subscriptions[TopicVMs].Replace(n.now, records[:keys-1], at(era, keys-1))
					f.subscriptions[TopicVMs].confirm(n.now, n.now)
				}
				n.run(time.Second)
				other := n.vms[0]
				other.subscriptions[TopicVMs].Read(n.now, records[keys-1:], at(era, keys))
				other.subscriptions[TopicVMs].confirm(n.now, n.now)
				late := other.buildState(n.now, "vm1")
				must.Len(t, 1, late.Feeds[2].Records)
				started := n.restart(1)
				topic := started.subscriptions[TopicVMs]
				read := func() { started.applyRead(n.now, TopicVMs, records, at(era, keys), true, nil) }
				if snapshotFirst {
					read()
				}
				started.receiveState(n.now, late)
				loaded := topic.loaded
				if !snapshotFirst {
					read()
				}
				// Until others have answered, a new VM can't tell which records of a restored log are new in its era.
				n.run(3 * time.Second)
				must.Eq(t, at(era, keys), topic.Next())
				must.Len(t, keys, topic.Since(sycfeed.Position{}))
				must.Eq(t, snapshotFirst, loaded)
			})
		}
	}
}

// TestCachesForAFormerProcessAreNotAll guards against a VM that starts again at its address and takes the last page of engines'
// caches, which its former process had asked for, for all there is.
func TestCachesForAFormerProcessAreNotAll(t *testing.T) {
	n := newNetwork(t, 3)
	former := n.vms[0].peers.link("vm1")
	former.wantsCaches, former.cachesAfter = true, "e"
	late := n.vms[0].buildState(n.now, "vm1")
	must.True(t, late.HasCaches)
	started := n.restart(1)
	started.receiveState(n.now, late)
	must.False(t, started.cacheReads.synced)
	n.run(time.Second)
	must.True(t, started.cacheReads.synced)
}
