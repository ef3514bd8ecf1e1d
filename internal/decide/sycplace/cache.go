package sycplace

import (
	"container/list"
	"time"
)

// cache is what an engine is believed to keep of prompts: the parts sent to it last,
// as far as its memory goes, and what it has told of itself.
type cache struct {
	// limit is in tokens.
	limit int
	used  int
	parts map[uint64]*list.Element
	// order holds kept parts, the one used last in front.
	order *list.List
}

type kept struct {
	Block
	// used is when the part was last sent; long ago if it was only told of.
	used time.Duration
}

func newCache(limit int) *cache {
	return &cache{limit: limit, parts: map[uint64]*list.Element{}, order: list.New()}
}

// held returns the number of tokens of the parts' longest beginning that is kept.
func (c *cache) held(parts []Block) int {
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
func (c *cache) add(now time.Duration, parts []Block) {
	for i := len(parts) - 1; i >= 0; i-- {
		at := c.put(parts[i])
		at.Value.(*kept).used = now
		c.order.MoveToFront(at)
	}
	c.trim()
}

// told notes parts that the engine has told of; parts sent from here are known better.
func (c *cache) told(parts []Block) {
	for _, p := range parts {
		c.put(p)
	}
	c.trim()
}

func (c *cache) put(p Block) *list.Element {
	at, ok := c.parts[p.Hash]
	if !ok {
		at = c.order.PushFront(&kept{Block: p, used: -toldLate})
		c.parts[p.Hash] = at
		c.used += p.Tokens
	}
	return at
}

// trim forgets the parts used longest ago that have no room.
func (c *cache) trim() {
	for c.used > c.limit && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}

// drop forgets a part that the engine has dropped, unless it was sent again since about
// then: what engines tell comes late.
func (c *cache) drop(now time.Duration, hash uint64) {
	if at, ok := c.parts[hash]; ok && now-at.Value.(*kept).used > toldLate {
		c.remove(at)
	}
}

func (c *cache) remove(at *list.Element) {
	k := c.order.Remove(at).(*kept)
	delete(c.parts, k.Hash)
	c.used -= k.Tokens
}

// list returns the parts that are kept, the one used last at the end.
func (c *cache) list() []Block {
	out := make([]Block, 0, len(c.parts))
	for at := c.order.Back(); at != nil; at = at.Prev() {
		out = append(out, at.Value.(*kept).Block)
	}
	return out
}

// clear forgets everything, as an engine does that restarts or takes new weights.
func (c *cache) clear() {
	c.used = 0
	clear(c.parts)
	c.order.Init()
}
