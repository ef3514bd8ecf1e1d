package sycplace

import "container/list"

// cache is what an engine is believed to keep of prompts: the parts sent to it
// last, as far as its memory goes.
type cache struct {
	// limit is in tokens.
	limit int
	used  int
	parts map[uint64]*list.Element
	// order holds kept parts, the one used last in front.
	order *list.List
}

type kept struct {
	hash   uint64
	tokens int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[uint64]*list.Element{}, order: list.New()}
}

// held returns the number of tokens of the parts' longest beginning that is kept.
func (c *cache) held(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.Hash]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add notes that the parts were used.
func (c *cache) add(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if at, ok := c.parts[p.Hash]; ok {
			c.order.MoveToFront(at)
			continue
		}
		c.parts[p.Hash] = c.order.PushFront(kept{hash: p.Hash, tokens: p.Tokens})
		c.used += p.Tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		k := c.order.Remove(last).(kept)
		delete(c.parts, k.hash)
		c.used -= k.tokens
	}
}

// clear forgets everything, as an engine does that restarts or takes new weights.
func (c *cache) clear() {
	c.used = 0
	clear(c.parts)
	c.order.Init()
}
