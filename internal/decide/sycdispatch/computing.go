package sycdispatch

import "time"

const (
	// leastTold is the shortest prefill, in blocks, that other VMs are told of.
	leastTold = 16
	// marksPerOctave is the number of told depths between a depth and its double.
	marksPerOctave = 4
	// firstMark is the least told depth, in blocks.
	firstMark = 4
	// urgentBlocks is the size of a prefill that other VMs are told of at once.
	urgentBlocks = 64
)

// RunningPrefill is a prefill under way.
type RunningPrefill struct {
	// Marks holds the chain's hashes at fixed depths beyond what was cached.
	Marks []uint64
	// Left is the expected time to its end.
	Left time.Duration
}

// coming is a prefill at a peer's request, seen from a block that it computes.
type coming struct {
	from  string
	until time.Duration
}

// markAfter returns the next told depth after a depth.
func markAfter(depth int) int {
	mark, step := firstMark, firstMark/marksPerOctave
	for mark <= depth {
		mark += step
		if mark >= 2*marksPerOctave*step {
			step *= 2
		}
	}
	return mark
}

// marks returns the hashes of a chain at the told depths beyond the first blocks.
func marks(chain []uint64, held int) []uint64 {
	var list []uint64
	for depth := markAfter(held); depth <= len(chain); depth = markAfter(depth) {
		list = append(list, chain[depth-1])
	}
	return list
}

// computing lists the longer prefills that this VM has put on the endpoint.
func (e *endpoint) computing(now time.Duration) []RunningPrefill {
	var list []RunningPrefill
	for _, a := range e.attempts {
		held := a.held + a.imported
		if a.prefilled || len(a.option.Chain)-held < leastTold {
			continue
		}
		list = append(list, RunningPrefill{
			Marks: marks(a.option.Chain, held),
			Left:  a.remainingTime(now),
		})
	}
	return list
}

// learnComputing takes over what a peer told at a time.
func (e *endpoint) learnComputing(from string, at time.Duration, list []RunningPrefill) {
	for _, c := range list {
		for _, block := range c.Marks {
			if until := at + c.Left; until > e.coming[block].until {
				e.coming[block] = coming{from: from, until: until}
			}
		}
	}
}

// forgetComputing takes back what a peer told earlier.
func (e *endpoint) forgetComputing(from string, list []RunningPrefill) {
	for _, c := range list {
		for _, block := range c.Marks {
			if e.coming[block].from == from {
				delete(e.coming, block)
			}
		}
	}
}

// comingAt looks for a prefill under way that covers more of the chain than
// the cache does, and estimates when it ends.
func (e *endpoint) comingAt(now time.Duration, chain []uint64, depth int) (int, time.Duration) {
	most, wait := depth, time.Duration(0)
	for _, a := range e.attempts {
		if a.prefilled || len(a.option.Chain) <= most || len(chain) <= most {
			continue
		}
		if n := common(a.option.Chain, chain); n > most {
			most, wait = n, a.remainingTime(now)
		}
	}
	if len(e.coming) > 0 {
		most, wait = e.comingAtPeers(now, chain, most, wait)
	}
	if most == depth {
		return 0, 0
	}
	return most, wait
}

func (e *endpoint) comingAtPeers(now time.Duration, chain []uint64, most int, wait time.Duration) (int, time.Duration) {
	for depth := markAfter(most); depth <= len(chain); depth = markAfter(depth) {
		c, ok := e.coming[chain[depth-1]]
		if !ok {
			break
		}
		if c.until > now {
			most, wait = depth, c.until-now
		}
	}
	return most, wait
}
