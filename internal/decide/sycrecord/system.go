package sycrecord

// HolderFields is the wire form of a slot's holder.
type HolderFields struct {
	Address string `json:"address"`
	// Former is the VM that held the slot before.
	Former string `json:"former"`
	// Home is the address that the slot table gives the slot to. The record has
	// no effect once the table names another.
	Home string `json:"home,omitempty"`
}

// Holder says which VM has taken a slot over from a VM that is gone.
type Holder struct {
	slot   string
	fields HolderFields
}

// NewHolder returns the holder of a slot.
func NewHolder(slot string, f HolderFields) Holder { return Holder{slot: slot, fields: f} }

// Slot is the name of the slot.
func (h Holder) Slot() string { return h.slot }

// Address is the peer address of the VM that holds the slot.
func (h Holder) Address() string { return h.fields.Address }

// Former is the peer address of the VM that held the slot before.
func (h Holder) Former() string { return h.fields.Former }

// Home is the address in the slot table that the record replaces.
func (h Holder) Home() string { return h.fields.Home }

// LeaseFields is the wire form of a lease.
type LeaseFields struct {
	Address     string   `json:"address"`
	Incarnation string   `json:"incarnation"`
	Duration    Duration `json:"duration"`
	// Proposal numbers the holder's attempts to get or renew the lease.
	Proposal uint64 `json:"proposal"`
}

// Lease gives one VM the right to act on an object for a time. The offset of
// the operation that granted it is its fencing number.
type Lease struct {
	name   string
	fields LeaseFields
}

// NewLease returns a lease with the given fields.
func NewLease(name string, f LeaseFields) Lease { return Lease{name: name, fields: f} }

// Name is the object that the lease is for.
func (l Lease) Name() string { return l.name }

// Address is the peer address of the holder.
func (l Lease) Address() string { return l.fields.Address }

// Incarnation is the incarnation of the holder's process.
func (l Lease) Incarnation() string { return l.fields.Incarnation }

// Proposal is the number of the attempt that was granted.
func (l Lease) Proposal() uint64 { return l.fields.Proposal }

// Duration is how long the lease holds, counted by the holder from before its
// append and by others from their reading of it.
func (l Lease) Duration() Duration { return l.fields.Duration }

// RolloutFields is the wire form of a rollout's progress.
type RolloutFields struct {
	// Generation is that of the version record that the rollout carries out.
	Generation uint64 `json:"generation"`
	// State is a state of the rollout's state chart.
	State string `json:"state"`
	// Share is the version's share of its model's traffic, 0 to 1.
	Share float64 `json:"share"`
	// Probation is how long the predecessor stays loaded after the state "done", so
	// that the version can still be rolled back; 0 once that is over.
	Probation Duration `json:"probation,omitempty"`
	// Reason says in a sentence why the state was entered.
	Reason string `json:"reason"`
	// Evidence holds the counts that the decision rests on.
	Evidence []EvidenceFields `json:"evidence,omitempty"`
	// Fence is the offset of the leader's lease.
	Fence uint64 `json:"fence"`
}

// EvidenceFields compares a version with its predecessor on one route and load class.
type EvidenceFields struct {
	Route       string   `json:"route"`
	Load        string   `json:"load"`
	Requests    uint64   `json:"requests"`
	Failures    uint64   `json:"failures"`
	OldRequests uint64   `json:"old_requests"`
	OldFailures uint64   `json:"old_failures"`
	P95         Duration `json:"first_token_p95"`
	OldP95      Duration `json:"old_first_token_p95"`
}

// Rollout is the recorded progress of a version's rollout.
type Rollout struct {
	version string
	fields  RolloutFields
}

// NewRollout returns the progress of a version's rollout.
func NewRollout(version string, f RolloutFields) Rollout {
	return Rollout{version: version, fields: f}
}

// Version is the name of the version.
func (r Rollout) Version() string { return r.version }

// Fields returns the recorded progress.
func (r Rollout) Fields() RolloutFields { return r.fields }
