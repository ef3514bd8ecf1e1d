package sycrecord

// HolderFields is the JSON form of a slot holder's spec.
type HolderFields struct {
	// Address is the peer address of the VM that holds the slot.
	Address string `json:"address"`
	// Former is the peer address of the VM that held the slot before.
	Former string `json:"former"`
	// Home is the peer address that the slot table gives the slot to. The record has
	// no effect once the table gives the slot to another address.
	Home string `json:"home,omitempty"`
}

// Holder records the takeover of a rate slot: it names the VM that holds the slot
// in place of a VM that is gone.
type Holder struct {
	// slot is the name of the rate slot.
	slot string
	// fields is the spec in the newest schema version.
	fields HolderFields
}

// NewHolder returns the holder record of the given slot.
func NewHolder(slot string, f HolderFields) Holder { return Holder{slot: slot, fields: f} }

// Slot returns the name of the rate slot.
func (h Holder) Slot() string { return h.slot }

// Address returns the peer address of the VM that holds the slot.
func (h Holder) Address() string { return h.fields.Address }

// Former returns the peer address of the VM that held the slot before.
func (h Holder) Former() string { return h.fields.Former }

// Home returns the peer address in the slot table that this record overrides.
func (h Holder) Home() string { return h.fields.Home }

// LeaseFields is the JSON form of a lease's spec.
type LeaseFields struct {
	// Address is the peer address of the lease holder.
	Address string `json:"address"`
	// Incarnation identifies the lease holder's process: a restarted VM has a new one.
	Incarnation string `json:"incarnation"`
	// Duration is how long the lease is valid.
	Duration Duration `json:"duration"`
	// Proposal numbers the lease holder's tries to get or renew the lease.
	Proposal uint64 `json:"proposal"`
}

// Lease gives one VM the exclusive right to do a task, such as leading the
// rollouts, for a limited time. The log offset of the operation that granted the
// lease is its fencing number.
type Lease struct {
	// name is the name of the task that the lease is for.
	name string
	// fields is the spec in the newest schema version.
	fields LeaseFields
}

// NewLease returns the lease with the given name and fields.
func NewLease(name string, f LeaseFields) Lease { return Lease{name: name, fields: f} }

// Name returns the name of the task that the lease is for.
func (l Lease) Name() string { return l.name }

// Address returns the peer address of the lease holder.
func (l Lease) Address() string { return l.fields.Address }

// Incarnation returns the identifier of the lease holder's process; a restarted VM
// has a new one.
func (l Lease) Incarnation() string { return l.fields.Incarnation }

// Proposal returns the lease holder's number of the try that was granted.
func (l Lease) Proposal() uint64 { return l.fields.Proposal }

// Duration returns how long the lease is valid. The lease holder counts it from
// before it appended the record, other VMs from when they read the record.
func (l Lease) Duration() Duration { return l.fields.Duration }

// RolloutFields is the JSON form of a rollout's spec.
type RolloutFields struct {
	// Generation is the generation of the version record that is being rolled out.
	Generation uint64 `json:"generation"`
	// State names the rollout's state in the state chart of sycrollout.
	State string `json:"state"`
	// Share is the version's traffic share of its model, 0 to 1.
	Share float64 `json:"share"`
	// Probation is how long the predecessor stays loaded after the state "done", so
	// that the version can still be rolled back; 0 once that time has passed.
	Probation Duration `json:"probation,omitempty"`
	// Reason explains to operators in a sentence why the state was entered.
	Reason string `json:"reason"`
	// Evidence holds the counts that the leader, the VM that holds the lease for
	// rollouts, judged the version by.
	Evidence []EvidenceFields `json:"evidence,omitempty"`
	// Fence is the fencing number of the leader: the log offset at which its lease
	// was granted.
	Fence uint64 `json:"fence"`
}

// EvidenceFields is the JSON form of the counts that compare a version with its
// predecessor on one route and load class.
type EvidenceFields struct {
	// Route is the name of the route.
	Route string `json:"route"`
	// Load names the load class of the requests, "low", "middle" or "high".
	Load string `json:"load"`
	// Requests counts the version's requests on the route and in the load class.
	Requests uint64 `json:"requests"`
	// Failures counts those of Requests that failed.
	Failures uint64 `json:"failures"`
	// OldRequests counts the predecessor's requests on the route and in the load class.
	OldRequests uint64 `json:"old_requests"`
	// OldFailures counts those of OldRequests that failed.
	OldFailures uint64 `json:"old_failures"`
	// P95 is the 95th percentile of the version's time to the first token.
	P95 Duration `json:"first_token_p95"`
	// OldP95 is the 95th percentile of the predecessor's time to the first token.
	OldP95 Duration `json:"old_first_token_p95"`
}

// Rollout is the progress of a version's rollout as its leader last recorded it.
type Rollout struct {
	// version is the name of the version that is rolled out.
	version string
	// fields is the spec in the newest schema version.
	fields RolloutFields
}

// NewRollout returns the progress of the given version's rollout.
func NewRollout(version string, f RolloutFields) Rollout {
	return Rollout{version: version, fields: f}
}

// Version returns the name of the version that is rolled out.
func (r Rollout) Version() string { return r.version }

// Fields returns the progress in its JSON form.
func (r Rollout) Fields() RolloutFields { return r.fields }
