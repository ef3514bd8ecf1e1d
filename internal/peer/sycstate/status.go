package sycstate

import "sycamorecart.example/sycamorecart/internal/decide/sycrecord"

// StreamStatus is what operators see of a stream.
type StreamStatus struct {
	Stream string `json:"stream"`
	// Next is the offset after the last applied record.
	Next  uint64 `json:"next"`
	Ready bool   `json:"ready"`
	// ProofAge is the age of the last proof of being at the log's end.
	ProofAge sycrecord.Duration `json:"proof_age"`
	Proven   bool               `json:"proven"`
	// LogEndsBefore and LogDiffers report a log that was truncated or replaced;
	// the VM keeps its state.
	LogEndsBefore bool               `json:"log_ends_before,omitempty"`
	LogDiffers    bool               `json:"log_differs,omitempty"`
	Unreadable    []UnreadableStatus `json:"unreadable,omitempty"`
}

// UnreadableStatus is an object whose newest operation has a schema version
// that this VM cannot read.
type UnreadableStatus struct {
	Kind   sycrecord.Kind `json:"kind"`
	Name   string         `json:"name"`
	Schema int            `json:"schema"`
	Offset uint64         `json:"offset"`
}

// Status returns the present status of both streams.
func (s *Store) Status() []StreamStatus {
	list := make([]StreamStatus, 0, len(s.followers()))
	for _, f := range s.followers() {
		list = append(list, f.status())
	}
	return list
}

func (f *follower) status() StreamStatus {
	state := f.state.Load()
	age, proven := f.proof()
	status := StreamStatus{
		Stream:        f.stream,
		Next:          state.Next(),
		Ready:         f.ready.Load(),
		ProofAge:      sycrecord.Duration(age),
		Proven:        proven,
		LogEndsBefore: f.behind.Load(),
		LogDiffers:    f.diverged.Load(),
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
