package sycoverload

const (
	// classCount is the number of priorities.
	classCount = 10
	// keptCount is the part of the counts of earlier windows that counts with the next.
	keptCount = 0.7
)

// classes divides the rejected share among priorities: the least urgent requests are rejected
// first.
type classes struct {
	// counts holds how many requests of each priority have arrived, the older ones counting
	// less.
	counts [classCount]float64
	// debts holds the rejections of each priority that are due, a part of one at most after
	// each decision.
	debts [classCount]float64
}

// index returns the index of a priority.
func index(priority int) int { return min(max(priority, 0), classCount-1) }

// count adds a request of a priority.
func (c *classes) count(priority int) { c.counts[index(priority)]++ }

// age lets the counts so far count less.
func (c *classes) age() {
	for i := range c.counts {
		c.counts[i] *= keptCount
	}
}

// rejects reports whether a request of a priority is rejected if a share of all requests is.
func (c *classes) rejects(priority int, share float64) bool {
	i := index(priority)
	c.debts[i] += c.share(i, share)
	if c.debts[i] < 1 {
		return false
	}
	c.debts[i]--
	return true
}

// share returns the share of the requests of a class that is rejected if a share of all
// requests is.
func (c *classes) share(class int, all float64) float64 {
	total := 0.0
	for _, n := range c.counts {
		total += n
	}
	due := all * total
	for i := classCount - 1; i > class; i-- {
		due -= min(due, maxShare*c.counts[i])
	}
	return min(due/c.counts[class], maxShare)
}
