package sycplace

// spread is 2^64 divided by the golden ratio. Multiples of this odd number spread
// evenly over 64 bits, so that consecutive IDs split by the traffic share.
const spread = 0x9E3779B97F4A7C15

// splitter divides a service's requests between releases of its endpoints during a
// rollout. A release is a version of the endpoints' software.
type splitter struct {
	// rollouts holds each service's current rollout, by service.
	rollouts map[string]rollout
}

// rollout is the state of one service's rollout.
type rollout struct {
	// target is the release that is being rolled out.
	target string
	// share is the fraction of the requests that the target gets.
	share float64
}

// SetTrafficShare sets the fraction of a service's requests that go to a release.
// The rest go to the service's other releases.
func (s *Selector) SetTrafficShare(service, release string, share float64) {
	if s.split.rollouts == nil {
		s.split.rollouts = map[string]rollout{}
	}
	s.split.rollouts[service] = rollout{target: release, share: share}
}

// filter returns the endpoints of the release that the request is assigned to.
// Requests for the target go to the other releases if the target has no endpoint.
// Requests for the other releases never go to the target, even if it alone has
// endpoints.
func (s *splitter) filter(r *Request, all []*endpoint) []*endpoint {
	current, ok := s.rollouts[r.Service]
	if !ok {
		return all
	}
	var target, others []*endpoint
	for _, e := range all {
		if e.record.Release == current.target {
			target = append(target, e)
		} else {
			others = append(others, e)
		}
	}
	forTarget := float64((r.ID*spread)>>11)/(1<<53) < current.share
	switch {
	case forTarget && len(target) > 0:
		return target
	case current.share >= 1 && len(target) > 0:
		return target
	default:
		return others
	}
}
