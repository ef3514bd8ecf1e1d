// Package syccache is a limited cache of prompt blocks that evicts the least
// recently used ones.
package syccache

import "container/list"

// Block is a cached block.
type Block struct {
	hash    uint64
	salt    string
	weights string
}

// Hash is the block's hash in its chain.
func (b Block) Hash() uint64 { return b.hash }

// Salt is the cache salt that the chain is seeded with.
func (b Block) Salt() string { return b.salt }

// Cache holds up to a number of blocks. It isn't safe for concurrent use.
type Cache struct {
	capacity int
	// order holds a Block in each element, the least recently used one last.
	order *list.List
	// byHash has one entry for each element of order.
	byHash map[uint64]*list.Element
}

// New returns an empty cache.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// Len is the number of blocks held.
func (c *Cache) Len() int { return c.order.Len() }

// Longest is the number of leading blocks of the chain that are held; it marks
// them as used.
func (c *Cache) Longest(chain []uint64) int {
	n := 0
	for n < len(chain) && c.byHash[chain[n]] != nil {
		n++
	}
	// The first block of a chain is used last, so that chains lose their ends first.
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.byHash[chain[i]])
	}
	return n
}

// Store adds the blocks of a chain. It returns those that were new, in order,
// and those evicted for them.
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
	c.Longest(chain)
	for c.order.Len() > c.capacity {
		evicted = append(evicted, c.remove(c.order.Back()))
	}
	return stored, evicted
}

// DropWeights removes the blocks computed with the weights and returns them.
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

func (c *Cache) remove(e *list.Element) Block {
	block := c.order.Remove(e).(Block)
	delete(c.byHash, block.hash)
	return block
}

// Held returns those of the blocks that are held under the salt.
func (c *Cache) Held(salt string, blocks []uint64) []uint64 {
	held := []uint64{}
	for _, hash := range blocks {
		e := c.byHash[hash]
		if e != nil && e.Value.(Block).salt == salt {
			held = append(held, hash)
		}
	}
	return held
}

// Hashes returns the hashes of all blocks held, the most recently used first.
func (c *Cache) Hashes() []uint64 {
	hashes := make([]uint64, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		hashes = append(hashes, e.Value.(Block).hash)
	}
	return hashes
}
