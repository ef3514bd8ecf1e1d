// Package syccache implements an LRU cache of prompt blocks. A prompt block is a
// fixed-size part of a prompt whose KV cache is kept as a unit. A chain is the
// list of the hashes of a prompt's blocks, in which each hash covers the blocks
// before it as well.
package syccache

import "container/list"

// Block identifies a cached prompt block and what it was computed for.
type Block struct {
	// hash identifies the block and all blocks before it in its chain.
	hash uint64
	// salt is the cache salt. Only requests with the same salt may use the block.
	salt string
	// weights is the version of the model's weights that computed the block. It's empty in
	// the KV store's cache.
	weights string
}

// Hash returns the block's hash, which covers the block and all blocks before it
// in its chain.
func (b Block) Hash() uint64 { return b.hash }

// Salt returns the cache salt that the block's chain is seeded with.
func (b Block) Salt() string { return b.salt }

// Cache is an LRU cache with a fixed capacity in blocks. It isn't safe for
// concurrent use.
type Cache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// order lists the cached Blocks from the most to the least recently used.
	order *list.List
	// byHash maps a block's hash to its element of order.
	byHash map[uint64]*list.Element
}

// New returns an empty cache for at most capacity blocks.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return c.order.Len() }

// MatchPrefix returns the length, in blocks, of the longest cached prefix of the
// chain and marks the blocks of that prefix as just used.
func (c *Cache) MatchPrefix(chain []uint64) int {
	n := 0
	for n < len(chain) && c.byHash[chain[n]] != nil {
		n++
	}
	// Marking the first block last makes it the most recently used, so that a
	// chain's later blocks are evicted before its earlier ones.
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.byHash[chain[i]])
	}
	return n
}

// Store adds the blocks of a chain, which is shortened to the capacity first. It
// returns the hashes of the blocks that weren't cached before, in the chain's
// order, and the blocks evicted to make room.
func (c *Cache) Store(salt, weights string, chain []uint64) (stored []uint64, evicted []Block) {
	if len(chain) > c.capacity {
		chain = chain[:c.capacity]
	}
	for _, hash := range chain {
		if c.byHash[hash] != nil {
			continue
		}
		c.byHash[hash] = c.order.PushFront(Block{hash: hash, salt: salt, weights: weights})
		stored = append(stored, hash)
	}
	c.MatchPrefix(chain)
	for c.order.Len() > c.capacity {
		evicted = append(evicted, c.remove(c.order.Back()))
	}
	return stored, evicted
}

// DropWeights removes and returns all blocks that were computed with the given
// version of the weights.
func (c *Cache) DropWeights(weights string) []Block {
	var dropped []Block
	for e := c.order.Back(); e != nil; {
		previous := e.Prev()
		if e.Value.(Block).weights == weights {
			dropped = append(dropped, c.remove(e))
		}
		e = previous
	}
	return dropped
}

// remove deletes an element of order and its entry in byHash.
func (c *Cache) remove(e *list.Element) Block {
	block := c.order.Remove(e).(Block)
	delete(c.byHash, block.hash)
	return block
}

// Cached returns the given hashes whose blocks are cached under the salt. It
// doesn't mark the blocks as used.
func (c *Cache) Cached(salt string, blocks []uint64) []uint64 {
	cached := []uint64{}
	for _, hash := range blocks {
		e := c.byHash[hash]
		if e != nil && e.Value.(Block).salt == salt {
			cached = append(cached, hash)
		}
	}
	return cached
}

// Hashes returns the hashes of all cached blocks, the most recently used first.
func (c *Cache) Hashes() []uint64 {
	hashes := make([]uint64, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		hashes = append(hashes, e.Value.(Block).hash)
	}
	return hashes
}
