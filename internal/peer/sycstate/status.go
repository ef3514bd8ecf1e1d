package sycstate

import "sycamorecart.example/sycamorecart/internal/decide/sycrecord"

// StreamStatus is the part of the status page that shows how this VM follows a stream.
type StreamStatus struct {
	// Stream is the name of the stream.
	Stream string `json:"stream"`
	// Next is the offset after the last applied record.
	Next uint64 `json:"next"`
	// Ready is set once the state may be used to serve requests.
	Ready bool `json:"ready"`
	// ProofAge is the age of the latest proof that the state was up to date. It's valid
	// if Proven is set.
	ProofAge sycrecord.Duration `json:"proof_age"`
	// Proven is set once there is a proof.
	Proven bool `json:"proven"`
	// LogEndsBefore reports that the log ends before Next, because it was truncated or
	// replaced. The VM keeps its state.
	LogEndsBefore bool `json:"log_ends_before,omitempty"`
	// LogDiffers reports that the log holds another record than the last applied one at
	// its offset, because the log was replaced. The VM keeps its state.
	LogDiffers bool `json:"log_differs,omitempty"`
	// Unreadable lists the objects that this VM can't read.
	Unreadable []UnreadableStatus `json:"unreadable,omitempty"`
}

// UnreadableStatus shows an object whose newest operation has a schema version that this
// VM can't read.
type UnreadableStatus struct {
	// Kind and Name identify the object.
	Kind sycrecord.Kind `json:"kind"`
	Name string         `json:"name"`
	// Schema is the operation's schema version.
	Schema int `json:"schema"`
	// Offset is the offset of the operation's record.
	Offset uint64 `json:"offset"`
}

// Status returns the current status of the config and the system stream, in this order.
func (s *Store) Status() []StreamStatus {
	list := make([]StreamStatus, 0, len(s.followers()))
	for _, f := range s.followers() {
		list = append(list, f.status())
	}
	return list
}

// status returns the current status of the follower's stream.
func (f *follower) status() StreamStatus {
	state := f.state.Load()
	age, proven := f.proofAge()
	status := StreamStatus{
		Stream:        f.stream,
		Next:          state.Next(),
		Ready:         f.ready.Load(),
		ProofAge:      sycrecord.Duration(age),
		Proven:        proven,
		LogEndsBefore: f.logEndsBefore.Load(),
		LogDiffers:    f.logDiffers.Load(),
	}
	for _, u := range state.Unreadable() {
		status.Unreadable = append(status.Unreadable, UnreadableStatus{
			Kind:   u.Kind(),
			Name:   u.Name(),
			Schema: u.Schema(),
			Offset: u.Offset(),
		})
	}
	return status
}
