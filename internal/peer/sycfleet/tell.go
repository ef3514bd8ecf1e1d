package sycfleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"sycamorecart.example/sycamorecart/internal/decide/sycreplica"
	"sycamorecart.example/sycamorecart/internal/decide/syctopology"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// newsLinkPart is the part of a VM's bandwidth that the news in the states for it may take. A state
	// that takes long to arrive is given up and makes the VMs take each other for gone.
	newsLinkPart = 0.2
	// minStateNews is the least number of bytes of news that a state may have.
	minStateNews = 8 << 10
	// bulkLinkPart and minStateBulk are the same for loads, evidence and suspects. What has no room
	// follows in the next states.
	bulkLinkPart = 0.3
	minStateBulk = 32 << 10
	// originSize estimates the encoded bytes of a change beyond its message.
	originSize = 16
	// hashSize and newsOverhead estimate the encoded bytes of a block in news, with its tokens,
	// and of the rest of the message.
	hashSize, newsOverhead = 11, 24
)

// forwards reports whether a VM gets a change in the next state. A relay gets the changes of
// this VM and of the VMs that send theirs to this one only, since it gets the others from other
// relays. All VMs come to know all members.
func (f *Fleet) forwards(e *sycreplica.Entry[changeKey, change], address string, l *link) bool {
	switch {
	case e.Source == "":
		return true
	case e.Source == address:
		return false
	case e.Key.kind == memberChange:
		return true
	case e.Key.kind == loadChange && !f.peers.isRelayLink(e.Source):
		return false
	}
	return !l.relay || !f.peers.isRelayLink(e.Source)
}

// encodeChanges adds to a state the changes that the VM at an address doesn't have. Of the news it gets the
// latest that its link carries in time. The others are left out for good, since they soon mean nothing. What
// else is too much follows in the next states.
func (f *Fleet) encodeChanges(now time.Duration, address string, l *link, out *sycgossippb.State) {
	var entries []*sycreplica.Entry[changeKey, change]
	newest, full := f.changes.Newest(), false
	left := f.linkShare(address, bulkLinkPart, minStateBulk)
	for _, e := range f.changes.Since(l.acknowledged) {
		if !f.forwards(e, address, l) || e.ExpiresAt > 0 && now >= e.ExpiresAt {
			continue
		}
		if size := bulkSize(e); !full && size > 0 {
			if left <= 0 {
				newest, full = e.Change-1, true
			}
			left -= size
		}
		if !full || isUrgent(e) {
			entries = append(entries, e)
		}
	}
	left = f.linkShare(address, newsLinkPart, minStateNews)
	for i, e := range slices.Backward(entries) {
		if size := newsSize(e.Value); size > 0 {
			if left -= size; left < 0 {
				entries[i] = nil
			}
		}
	}
	encodeEntries(now, entries, out)
	out.Since, out.Newest = l.acknowledged, newest
}

// isUrgent reports whether a change is sent even in a state that has no room for all. A VM counts as heard
// only with what it has admitted, a relay's sums only with the loads that it was sent last, and there are
// few of these changes.
func isUrgent(e *sycreplica.Entry[changeKey, change]) bool {
	switch e.Key.kind {
	case memberChange, usageChange, dutyChange, limitChange:
		return true
	}
	return e.Key.kind == loadChange && e.Source == ""
}

// bulkSize returns about how many bytes a change takes in a state, 0 for news and urgent changes.
func bulkSize(e *sycreplica.Entry[changeKey, change]) int {
	message, ok := e.Value.(proto.Message)
	if !ok || isUrgent(e) || newsSize(e.Value) > 0 {
		return 0
	}
	return originSize + proto.Size(message)
}

// encodeOwnChanges adds to a state this VM's own changes but for the news.
func (f *Fleet) encodeOwnChanges(now time.Duration, out *sycgossippb.State) {
	var entries []*sycreplica.Entry[changeKey, change]
	for _, e := range f.changes.Since(0) {
		if e.Source == "" && newsSize(e.Value) == 0 && (e.ExpiresAt == 0 || now < e.ExpiresAt) {
			entries = append(entries, e)
		}
	}
	encodeEntries(now, entries, out)
}

// encodeEntries adds changes to a state. It leaves out those that are nil.
func encodeEntries(now time.Duration, entries []*sycreplica.Entry[changeKey, change], out *sycgossippb.State) {
	origins := map[process]*sycgossippb.Origin{}
	for _, e := range entries {
		if e == nil {
			continue
		}
		p := e.Key.process
		if news, ok := e.Value.(dutyNews); ok {
			p = news.process
		}
		o := origins[p]
		if o == nil {
			o = &sycgossippb.Origin{Process: uint64(p)}
			origins[p] = o
			out.Origins = append(out.Origins, o)
		}
		encodeChange(now, e, o)
	}
}

// linkShare returns how many bytes a part of the links of this VM and the one at an address carries in a
// period, and the least if that is less.
func (f *Fleet) linkShare(address string, part float64, least int) int {
	capacity := 0.0
	if vm := f.peers.vms[address]; vm != nil {
		capacity = min(vm.capacity, f.options.Capacity)
	}
	return max(least, int(part*syctopology.BytesPerSecond(capacity)*f.Period().Seconds()))
}

// newsSize returns about how many bytes news of engines' caches take in a state, 0 for other changes.
func newsSize(value change) int {
	switch v := value.(type) {
	case *sycgossippb.Sent:
		return newsOverhead + hashSize*len(v.Hashes)
	case *sycgossippb.Cache:
		return newsOverhead + hashSize*(len(v.Kept)+len(v.Gone))
	}
	return 0
}

// encodeChange adds a change to the changes of its origin.
func encodeChange(now time.Duration, e *sycreplica.Entry[changeKey, change], o *sycgossippb.Origin) {
	switch v := e.Value.(type) {
	case *sycgossippb.Member:
		o.Member = v
	case *sycgossippb.Usage:
		o.Usage = append(o.Usage, v)
	case *sycgossippb.Load:
		o.Loads = append(o.Loads, v)
	case *sycgossippb.Sent:
		o.Sent = append(o.Sent, v)
	case *sycgossippb.Cache:
		o.Caches = append(o.Caches, v)
	case *sycgossippb.Evidence:
		o.Evidence = append(o.Evidence, v)
	case *sycgossippb.Suspect:
		o.Suspects = append(o.Suspects, v)
	case *sycgossippb.EndpointLimit:
		o.Limits = append(o.Limits, v)
	case *sycgossippb.EndpointFault:
		o.Faults = append(o.Faults, v)
	case dutyNews:
		o.Duty = v.encode(now, e.Version)
	}
}
