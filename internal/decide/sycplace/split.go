package sycplace

// spread is an odd number whose multiples are spread evenly, so that of any ids in
// a row the same part goes to a release.
const spread = 0x9E3779B97F4A7C15

// splitter divides a service's requests between two releases of its endpoints
// while a rollout is under way.
type splitter struct {
	rollouts map[string]split
}

// split is the state of one service's rollout.
type split struct {
	// target is the release that is rolled out.
	target string
	// share is the part of the requests that the target gets.
	share float64
}

// SetTrafficShare sets the part of a service's requests that a release gets; the others
// go to the other releases.
func (p *Selector) SetTrafficShare(service, release string, share float64) {
	if p.split.rollouts == nil {
		p.split.rollouts = map[string]split{}
	}
	p.split.rollouts[service] = split{target: release, share: share}
}

// filter leaves the endpoints of the release that the request is for. Requests
// for the target go elsewhere when it has no endpoint, but a share of 0 is kept
// even when no other endpoint is left.
func (s *splitter) filter(r *Request, all []*endpoint) []*endpoint {
	rollout, ok := s.rollouts[r.Service]
	if !ok {
		return all
	}
	var target, others []*endpoint
	for _, e := range all {
		if e.record.Release == rollout.target {
			target = append(target, e)
		} else {
			others = append(others, e)
		}
	}
	forTarget := float64((r.ID*spread)>>11)/(1<<53) < rollout.share
	switch {
	case forTarget && len(target) > 0:
		return target
	case rollout.share >= 1 && len(target) > 0:
		return target
	default:
		return others
	}
}
