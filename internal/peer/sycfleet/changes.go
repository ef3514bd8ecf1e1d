package sycfleet

import (
	"maps"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/decide/sycreplica"
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/peer/sycevidence"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

const (
	// maxNews limits the sent prompts and changes of engines' caches that a VM keeps for
	// others. The oldest are dropped.
	maxNews = 20000
	// sentLifetime and cacheLifetime are how long a sent prompt and a change of an engine's
	// cache are told, and idleLifetime how long it is told that an endpoint that is gone has
	// no load.
	sentLifetime  = time.Second
	cacheLifetime = 2 * time.Second
	idleLifetime  = linkLifetime
)

// changeKind says what a change is about.
type changeKind int

// Kinds of changes.
const (
	memberChange changeKind = iota
	usageChange
	loadChange
	sentChange
	cacheChange
	evidenceChange
	dutyChange
	suspectChange
	limitChange
	faultChange
)

// changeKey identifies what a change replaces.
type changeKey struct {
	// process is where the change was made. It is 0 for the duties, of which there is one
	// holder.
	process process
	kind    changeKind
	// name is the customer, the endpoint or the cell of evidence.
	name string
	// number tells apart changes that replace nothing. For the duties it is the era of the log.
	number int64
}

// change is the value of a change: one of the messages in sycgossippb.Origin, or dutyNews. It
// isn't modified once it is recorded, since messages are encoded outside the loop.
type change any

// dutyNews is what the holder of the duties tells.
type dutyNews struct {
	message *sycgossippb.Duty
	// process is the holder's.
	process process
	// at is when the holder said so.
	at time.Duration
}

// serviceCell is a cell of the evidence of a service's rollout.
type serviceCell struct {
	service string
	cell    sycrollout.Cell
}

// changes holds the changes that VMs pass on to each other, and what this VM last told of its
// own state.
type changes struct {
	*sycreplica.Replica[changeKey, change]
	// process is this VM's.
	process process
	// member, spent and evidence are what was last told.
	member   *sycgossippb.Member
	spent    map[string]float64
	evidence map[serviceCell]sycrollout.Counts
	// dutyVersion is the version of the last news as the holder of the duties.
	dutyVersion int64
}

func newChanges(p process) *changes {
	return &changes{
		Replica:  sycreplica.New[changeKey, change](maxNews),
		process:  p,
		spent:    map[string]float64{},
		evidence: map[serviceCell]sycrollout.Counts{},
	}
}

// dropChanges forgets what came from a process.
func (f *Fleet) dropChanges(p process) {
	f.changes.DropIf(func(e *sycreplica.Entry[changeKey, change]) bool { return e.Key.process == p })
}

// dropLoadChanges forgets the loads that came from a process.
func (f *Fleet) dropLoadChanges(p process) {
	f.changes.DropIf(func(e *sycreplica.Entry[changeKey, change]) bool {
		return e.Key.process == p && e.Key.kind == loadChange
	})
}

// dropIdleLoads forgets the changes that tell that an endpoint which is gone has no load.
func (f *Fleet) dropIdleLoads(endpoint string) {
	f.changes.DropIf(func(e *sycreplica.Entry[changeKey, change]) bool {
		l, ok := e.Value.(*sycgossippb.Load)
		return ok && l.Endpoint == endpoint && l.Requests == 0 && l.Tokens == 0
	})
}

// version returns the version of the next own change.
func (c *changes) version() int64 { return c.Newest() + 1 }

// set records a change of this VM's own state.
func (c *changes) set(kind changeKind, name string, value change) {
	c.SetOwn(changeKey{process: c.process, kind: kind, name: name}, value, 0)
}

// add records news of this VM that replace nothing and are told until a time.
func (c *changes) add(kind changeKind, value change, until time.Duration) {
	c.SetOwn(changeKey{process: c.process, kind: kind, number: c.version()}, value, until)
}

// toldLoads returns the endpoints whose loads this VM has sent.
func (c *changes) toldLoads() []string {
	var out []string
	for _, e := range c.Since(0) {
		if e.Key.process == c.process && e.Key.kind == loadChange {
			out = append(out, e.Key.name)
		}
	}
	return out
}

// publish records the changes of this VM's own state since the last call.
func (f *Fleet) publish(now time.Duration) {
	c := f.changes
	if c.member == nil || c.member.Leaving != f.leaving.Load() || c.member.Relay != f.isRelay() {
		// The others ignore loads that are older than this news. So those that have ended are sent again, too.
		f.loads.touch(c.toldLoads())
		c.member = f.ownMember()
		c.member.Version = c.version()
		c.set(memberChange, "", c.member)
	}
	for _, u := range f.quota.Report() {
		if spent, told := c.spent[u.Customer]; u.Spent != spent || !told && u.Spent != 0 {
			c.spent[u.Customer] = u.Spent
			c.set(usageChange, u.Customer, &sycgossippb.Usage{Customer: u.Customer, Spent: u.Spent, Version: c.version()})
		}
	}
	f.holdRequests(now)
	f.loads.setOwn(f.selector.OwnLoads())
	for _, l := range f.loads.take() {
		message := encodeLoad(l)
		message.Version = c.version()
		c.SetOwn(changeKey{process: c.process, kind: loadChange, name: l.Endpoint}, message, f.loadExpiry(now, message))
	}
	for _, s := range f.selector.TakeSentPrompts() {
		message := encodeSent(s)
		message.Version = c.version()
		c.add(sentChange, message, now+sentLifetime)
	}
	f.publishEvidence()
	f.publishDuty(now)
	f.publishSuspects(now)
	f.publishLimits()
	f.publishFaults(now)
}

// ownMember returns this VM as a member of the fleet.
func (f *Fleet) ownMember() *sycgossippb.Member {
	return &sycgossippb.Member{
		Address:       f.options.Address,
		FailureDomain: f.options.FailureDomain,
		Incarnation:   f.options.Incarnation,
		Leaving:       f.leaving.Load(),
		Capacity:      f.options.Capacity,
		Relay:         f.isRelay(),
	}
}

// receiveOrigin applies another VM's changes that were made at one process.
func (f *Fleet) receiveOrigin(now time.Duration, source string, o *sycgossippb.Origin) {
	p := process(o.Process)
	if p == f.changes.process {
		return
	}
	if o.Duty != nil {
		f.receiveDuty(now, source, p, o.Duty)
	}
	if m := o.Member; m != nil && !f.peers.isFormer(m.Address, p) {
		if f.applyChange(source, p, memberChange, "", m.Version, m, 0) {
			f.learnMember(now, m, m.Address == source)
		}
	}
	address, known := f.peers.addresses[p]
	if !known {
		return
	}
	f.receiveUsage(now, source, address, p, o.Usage)
	for _, l := range o.Loads {
		if l.Version < f.roleVersion(p) {
			continue
		}
		if f.applyChange(source, p, loadChange, l.Endpoint, l.Version, l, f.loadExpiry(now, l)) {
			f.receiveLoad(address, l)
		}
	}
	for _, s := range o.Sent {
		if f.addChange(source, p, sentChange, s.Version, s, now+sentLifetime) {
			f.selector.AddSent(now, decodeSent(s))
		}
	}
	for _, c := range o.Caches {
		if f.addChange(source, p, cacheChange, c.Version, c, now+cacheLifetime) {
			f.selector.ApplyCacheReport(now, decodeCache(c))
		}
	}
	f.receiveEvidence(source, address, p, o.Evidence)
	f.receiveLimits(now, source, address, p, o.Limits)
	f.receiveFaults(now, source, address, p, o.Faults)
	for _, m := range o.Suspects {
		if f.addChange(source, p, suspectChange, m.Version, m, now+suspectLifetime(m)) {
			f.receiveSuspect(now, p, m)
		}
	}
}

// roleVersion returns the version of a process's last news of itself as a member. Loads that are older may
// be sums that it sent in another role, which another VM passes on late.
func (f *Fleet) roleVersion(p process) int64 {
	e := f.changes.Get(changeKey{process: p, kind: memberChange})
	if e == nil {
		return 0
	}
	return e.Version
}

// applyChange records a change that another VM has sent, and reports whether it is new.
func (f *Fleet) applyChange(source string, p process, kind changeKind, name string, version int64, value change, until time.Duration) bool {
	return f.changes.Apply(sycreplica.Entry[changeKey, change]{
		Key: changeKey{process: p, kind: kind, name: name}, Value: value, Version: version, Source: source, ExpiresAt: until,
	}, f.peers.addresses[p] == source)
}

// addChange records news that replace nothing, and reports whether they are new.
func (f *Fleet) addChange(source string, p process, kind changeKind, version int64, value change, until time.Duration) bool {
	return f.changes.Apply(sycreplica.Entry[changeKey, change]{
		Key: changeKey{process: p, kind: kind, number: version}, Value: value, Version: version, Source: source, ExpiresAt: until,
	}, f.peers.addresses[p] == source)
}

// receiveUsage applies what a process has admitted.
func (f *Fleet) receiveUsage(now time.Duration, source, address string, p process, in []*sycgossippb.Usage) {
	usage := make([]sycquota.Usage, 0, len(in))
	for _, u := range in {
		if f.applyChange(source, p, usageChange, u.Customer, u.Version, u, 0) {
			usage = append(usage, sycquota.Usage{Customer: u.Customer, Spent: u.Spent})
		}
	}
	if len(usage) > 0 {
		f.quota.Receive(now, address, f.peers.vms[address].incarnation, usage)
	}
}

// loadExpiry returns until when a load is told, 0 for always.
func (f *Fleet) loadExpiry(now time.Duration, l *sycgossippb.Load) time.Duration {
	if _, known := f.selector.Endpoint(l.Endpoint); known || l.Requests != 0 || l.Tokens != 0 {
		return 0
	}
	return now + idleLifetime
}

// receiveLoad applies a load that a VM tells. Only relays add up loads, and only those of VMs that
// are none, so that no sum becomes a part of another.
func (f *Fleet) receiveLoad(address string, l *sycgossippb.Load) {
	load := sycplace.Load{Endpoint: l.Endpoint, Requests: int(l.Requests), NonResumable: int(l.Fixed), Tokens: int(l.Tokens)}
	if f.isRelay() && !f.peers.isRelayLink(address) {
		f.loads.setMember(address, load)
	} else {
		f.loads.setGroup(address, load)
	}
	f.selector.SetPeerLoad(address, load)
}

// publishEvidence records this VM's own evidence of running rollouts.
func (f *Fleet) publishEvidence() {
	for service, r := range f.rollouts {
		if f.runningRollout(service) == nil {
			continue
		}
		for cell, counts := range r.ledger.Own() {
			key := serviceCell{service, cell}
			if told, ok := f.changes.evidence[key]; ok && told == counts {
				continue
			}
			f.changes.evidence[key] = counts
			message := &sycgossippb.Evidence{Service: service, Counts: sycevidence.Encode(cell, counts), Version: f.changes.version()}
			f.changes.set(evidenceChange, evidenceName(message), message)
		}
	}
}

// receiveEvidence merges another process's evidence of rollouts.
func (f *Fleet) receiveEvidence(source, address string, p process, in []*sycgossippb.Evidence) {
	for _, e := range in {
		if e.Counts == nil || !f.applyChange(source, p, evidenceChange, evidenceName(e), e.Version, e, 0) {
			continue
		}
		if r := f.rollouts[e.Service]; r != nil {
			f.mergeEvidence(r, address, e)
		}
	}
}

// mergeEvidence merges evidence of the VM at an address, unless it is of another rollout.
func (f *Fleet) mergeEvidence(r *rollout, address string, e *sycgossippb.Evidence) {
	if r.generation != e.Counts.Generation {
		return
	}
	if cell, counts, ok := sycevidence.Decode(e.Counts); ok {
		r.ledger.Merge(address+"/"+f.peers.vms[address].incarnation, cell, counts)
	}
}

// adoptEvidence merges the evidence that has come before its rollout was known, and forgets that
// of the service's former rollouts.
func (f *Fleet) adoptEvidence(r *rollout) {
	f.changes.DropIf(func(entry *sycreplica.Entry[changeKey, change]) bool {
		e, ok := entry.Value.(*sycgossippb.Evidence)
		if !ok || e.Service != r.Service {
			return false
		}
		if address, known := f.peers.addresses[entry.Key.process]; known {
			f.mergeEvidence(r, address, e)
		}
		return e.Counts.Generation < r.generation
	})
	maps.DeleteFunc(f.changes.evidence, func(key serviceCell, _ sycrollout.Counts) bool { return key.service == r.Service })
}
