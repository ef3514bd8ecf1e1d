// Package sycspill decides on one VM which requests leave its failure domain for endpoints of
// another one, because the time that this saves is worth the price of the bytes that cross.
//
// A failure domain is a set of VMs and endpoints that can fail together. Home is the domain of this
// VM, the others are away. The share of an away domain is the fraction of this VM's requests that
// may go there. It adapts to how many of them gain by it, see share.go. The path time of a domain is
// by how much first bytes from there come later than predicted, see path.go.
//
// A Spill is a pure state machine: the caller passes it the time and every event.
package sycspill

import (
	"cmp"
	"slices"
	"time"
)

const (
	// margin is the smallest gain for which a request leaves. Below it the predictions' errors decide.
	margin = 10 * time.Millisecond
	// onTimeFraction is the fraction of the objective within which a first byte is on time. Each
	// second beyond it counts as 1 + lateFactor seconds.
	onTimeFraction = 0.6
	lateFactor     = 2.0
	// staleAfter is the age from which a domain's loads no longer justify leaving for it. Loads
	// are 100 to 500 ms old when all is well.
	staleAfter = 700 * time.Millisecond
	// bytesPerMB is the number of bytes in the unit of the price.
	bytesPerMB = 1e6
)

// Option is the best endpoint of one failure domain for a request.
type Option struct {
	// Domain is the endpoint's failure domain.
	Domain string
	// First is the predicted time to the first byte, without the path time.
	First time.Duration
	// Bytes is how many bytes cross between failure domains if the request goes there.
	Bytes int
	// Full is set if the endpoint can't start the request in time.
	Full bool
}

// Request is a request for which a failure domain is chosen.
type Request struct {
	// Objective is the target for the time to the first byte; 0 or less if there is none.
	Objective time.Duration
	// Options holds at most one option for each failure domain.
	Options []Option
}

// Spill decides for the requests of one VM.
type Spill struct {
	// home is this VM's failure domain.
	home string
	// price is the price of bytes that cross, as time per MB.
	price time.Duration
	// domains holds the known domains, home included, ordered by name.
	domains []*domain
}

// New returns a Spill for a VM in a failure domain. Price is what a MB that crosses must save in time to
// the first byte.
func New(home string, price time.Duration) *Spill { return &Spill{home: home, price: price} }

// domain returns what is known of a failure domain, at first nothing.
func (s *Spill) domain(name string) *domain {
	i, ok := slices.BinarySearchFunc(s.domains, name, func(d *domain, name string) int { return cmp.Compare(d.name, name) })
	if !ok {
		d := &domain{name: name, heardAt: -staleAfter - 1}
		s.domains = slices.Insert(s.domains, i, d)
	}
	return s.domains[i]
}

// Choose returns the index of the option to take, -1 if there is none. A request with an option at home
// leaves only for a domain that is open and brings a gain, and within the domain's share. The share doesn't
// apply if home is full. If home has no option, the best of the others is taken.
func (s *Spill) Choose(now time.Duration, r Request) int {
	home := slices.IndexFunc(r.Options, func(o Option) bool { return o.Domain == s.home })
	if home < 0 {
		return s.cheapest(now, r)
	}
	for _, g := range s.gains(now, r, home) {
		if r.Options[home].Full || g.value > 0 && g.domain.credit >= 1 {
			g.domain.spend()
			return g.option
		}
	}
	return home
}

// gain is what a request gains in an away domain.
type gain struct {
	option int
	domain *domain
	// value is the time saved less the price and the margin.
	value time.Duration
}

// gains returns the gains of a request in the away domains that are open and not full, the largest first. It counts
// the request at each away domain.
func (s *Spill) gains(now time.Duration, r Request, home int) []gain {
	out := make([]gain, 0, len(r.Options))
	at := r.Options[home]
	stay := s.cost(now, r, at)
	for i, o := range r.Options {
		if i == home {
			continue
		}
		d := s.domain(o.Domain)
		s.adapt(now, d)
		leave := s.cost(now, r, o)
		value := stay - leave - margin
		d.count((value > 0 || at.Full) && !o.Full, stay, leave)
		if o.Full || d.closed(now) != "" {
			continue
		}
		out = append(out, gain{option: i, domain: d, value: value})
	}
	slices.SortStableFunc(out, func(a, b gain) int { return cmp.Compare(b.value, a.value) })
	return out
}

// cheapest returns the option with the lowest cost, of those that are open and not full if there are any.
func (s *Spill) cheapest(now time.Duration, r Request) int {
	best, bestRank, bestCost := -1, 0, time.Duration(0)
	for i, o := range r.Options {
		rank, cost := 0, s.cost(now, r, o)
		if o.Full {
			rank += 2
		}
		if s.domain(o.Domain).closed(now) != "" {
			rank++
		}
		if best < 0 || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(cost, bestCost)) < 0 {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best
}

// cost returns the cost of an option: the time to the first byte with the path time, more for what is late, and the
// price of the bytes that cross.
func (s *Spill) cost(now time.Duration, r Request, o Option) time.Duration {
	first := o.First + s.pathTime(now, s.domain(o.Domain))
	return first + time.Duration(float64(s.price)*float64(o.Bytes)/bytesPerMB) + LatePenalty(first, r.Objective)
}

// LatePenalty returns what a first byte after a time costs beside that time if it is late for an objective, which is 0 or
// less if there is none.
func LatePenalty(first, objective time.Duration) time.Duration {
	onTime := time.Duration(onTimeFraction * float64(objective))
	if objective <= 0 || first <= onTime {
		return 0
	}
	return time.Duration(lateFactor * float64(first-onTime))
}

// Detour returns by how much first bytes from a failure domain come later than those from home, 0 for home.
func (s *Spill) Detour(now time.Duration, name string) time.Duration {
	return max(s.pathTime(now, s.domain(name))-s.pathTime(now, s.domain(s.home)), 0)
}

// pathTime returns the path time of a domain.
func (s *Spill) pathTime(now time.Duration, d *domain) time.Duration {
	return d.path.time(now, s.pathPrior(now, d))
}

// pathPrior returns the path time of a domain without samples.
func (s *Spill) pathPrior(now time.Duration, d *domain) time.Duration {
	if d.name == s.home {
		return 0
	}
	return s.domain(s.home).path.time(now, 0) + awayPrior
}

// ObserveLoads records when the loads at a failure domain's endpoints were last heard of.
func (s *Spill) ObserveLoads(name string, heardAt time.Duration) { s.domain(name).heardAt = heardAt }

// ObserveFirstByte records the measured and the predicted time to the first byte of an answer from a failure
// domain.
func (s *Spill) ObserveFirstByte(now time.Duration, name string, took, expected time.Duration) {
	d := s.domain(name)
	d.path.observe(now, took-expected, s.pathPrior(now, d))
}

// ObserveFailure records that an endpoint of a failure domain couldn't be reached or was silent.
func (s *Spill) ObserveFailure(now time.Duration, name string) { s.domain(name).path.fail(now) }
