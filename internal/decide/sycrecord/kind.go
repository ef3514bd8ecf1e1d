package sycrecord

// Kind is KindCustomer.
func (Customer) Kind() Kind { return KindCustomer }

// Kind is KindKey.
func (Key) Kind() Kind { return KindKey }

// Kind is KindRoute.
func (Route) Kind() Kind { return KindRoute }

// Kind is KindEndpoint.
func (Endpoint) Kind() Kind { return KindEndpoint }

// Kind is KindVersion.
func (Version) Kind() Kind { return KindVersion }

// Kind is KindSlots.
func (Slots) Kind() Kind { return KindSlots }

// Kind is KindHolder.
func (Holder) Kind() Kind { return KindHolder }

// Kind is KindLease.
func (Lease) Kind() Kind { return KindLease }

// Kind is KindRollout.
func (Rollout) Kind() Kind { return KindRollout }
