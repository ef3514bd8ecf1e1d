package sycrecord

// Kind returns KindCustomer.
func (Customer) Kind() Kind { return KindCustomer }

// Kind returns KindKey.
func (Key) Kind() Kind { return KindKey }

// Kind returns KindRoute.
func (Route) Kind() Kind { return KindRoute }

// Kind returns KindEndpoint.
func (Endpoint) Kind() Kind { return KindEndpoint }

// Kind returns KindVersion.
func (Version) Kind() Kind { return KindVersion }

// Kind returns KindSlots.
func (Slots) Kind() Kind { return KindSlots }

// Kind returns KindHolder.
func (Holder) Kind() Kind { return KindHolder }

// Kind returns KindLease.
func (Lease) Kind() Kind { return KindLease }

// Kind returns KindRollout.
func (Rollout) Kind() Kind { return KindRollout }
