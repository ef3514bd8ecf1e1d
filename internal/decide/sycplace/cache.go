package sycplace

import (
	"container/list"
	"time"
)

// cache is this VM's model of an engine's prompt cache. It holds the blocks sent to
// the engine by any VM and the blocks that the engine reported, and evicts the least
// recently used ones when they exceed the limit.
type cache struct {
	// limit is the largest number of tokens in the cache.
	limit int
	// tokens is the number of tokens of all cached blocks.
	tokens int
	// blocks holds the cached blocks by hash.
	blocks map[uint64]*list.Element
	// order lists the cached blocks, the most recently used first.
	order *list.List
}

// cachedBlock is a block that an engine is believed to have in its cache.
type cachedBlock struct {
	Block
	// lastSent is when the block was last sent to the engine. A block that was only
	// reported gets a time early enough for evictReported to apply at any time.
	lastSent time.Duration
}

// newCache returns an empty cache for the given number of tokens.
func newCache(limit int) *cache {
	return &cache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// prefixTokens returns the number of tokens in the longest cached prefix of a prompt.
func (c *cache) prefixTokens(prompt []Block) int {
	tokens := 0
	for _, b := range prompt {
		if _, ok := c.blocks[b.Hash]; !ok {
			break
		}
		tokens += b.Tokens
	}
	return tokens
}

// addSent adds the blocks of a prompt that was sent to the engine.
func (c *cache) addSent(now time.Duration, prompt []Block) {
	for i := len(prompt) - 1; i >= 0; i-- {
		at := c.insert(prompt[i])
		at.Value.(*cachedBlock).lastSent = now
		c.order.MoveToFront(at)
	}
	c.trim()
}

// addReported adds blocks that the engine reported as cached. Blocks that are already
// present keep the time at which they were sent.
func (c *cache) addReported(blocks []Block) {
	for _, b := range blocks {
		c.insert(b)
	}
	c.trim()
}

// insert adds a block unless it is cached, and returns its element in the order.
func (c *cache) insert(b Block) *list.Element {
	at, ok := c.blocks[b.Hash]
	if !ok {
		at = c.order.PushFront(&cachedBlock{Block: b, lastSent: -maxReportDelay})
		c.blocks[b.Hash] = at
		c.tokens += b.Tokens
	}
	return at
}

// trim evicts the least recently used blocks that exceed the limit.
func (c *cache) trim() {
	for c.tokens > c.limit && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}

// evictReported removes a block that the engine reported as evicted. A block that
// was sent within maxReportDelay stays, since the report may concern an earlier copy.
func (c *cache) evictReported(now time.Duration, hash uint64) {
	if at, ok := c.blocks[hash]; ok && now-at.Value.(*cachedBlock).lastSent > maxReportDelay {
		c.remove(at)
	}
}

// remove removes the block of an element in the order.
func (c *cache) remove(at *list.Element) {
	b := c.order.Remove(at).(*cachedBlock)
	delete(c.blocks, b.Hash)
	c.tokens -= b.Tokens
}

// list returns the cached blocks, the most recently used last.
func (c *cache) list() []Block {
	out := make([]Block, 0, len(c.blocks))
	for at := c.order.Back(); at != nil; at = at.Prev() {
		out = append(out, at.Value.(*cachedBlock).Block)
	}
	return out
}

// clear removes all blocks. An engine loses them when it loads other weights.
func (c *cache) clear() {
	c.tokens = 0
	clear(c.blocks)
	c.order.Init()
}
