package router

import (
	"container/list"
	"time"

	"github.com/papayapond/papayapond/internal/hasher"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// bytesPerToken is the usual ratio for English text.
	bytesPerToken = 4
	blockTokens   = hasher.Block / bytesPerToken
	// maxBlocks bounds the blocks that are remembered of one prompt, maxCache
	// those of one target, and maxTotal those of all targets. A block takes
	// about 200 bytes, so that all of them stay within 26 MB.
	maxBlocks = 64
	maxCache  = 2048
	maxTotal  = 1 << 17
	// eventAge is the usual age of a cache event when it arrives. An eviction
	// that arrives sooner after a request with the block came before it.
	eventAge = 2 * time.Second
)

func tokens(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

// cache is an estimate of the prefix cache of a target, from its announced
// events and the prompts that this instance has sent. The events come late and
// with gaps, so it forgets the least recently used blocks by itself.
type cache struct {
	limit    int        // in blocks
	order    *list.List // of block, most recently used first
	elements map[uint64]*list.Element
}

type block struct {
	hash uint64
	sent time.Time // by this instance
}

func newCache() *cache {
	return &cache{limit: maxCache, order: list.New(), elements: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are probably cached. A gap in the
// events may hide a block in the middle, so that the last known block counts.
func (c *cache) match(hashes []uint64) int {
	if len(hashes) == 0 || c.elements[hashes[0]] == nil {
		return 0
	}
	for i := len(hashes) - 1; i > 0; i-- {
		if c.elements[hashes[i]] != nil {
			return i + 1
		}
	}
	return 1
}

// sent takes a prompt that was sent to the target, the first block last, so
// that the end of a prompt is forgotten first.
func (c *cache) sent(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.put(block{hashes[i], now})
	}
}

// learn takes announced events.
func (c *cache) learn(events []*wire.Cache, now time.Time) {
	for _, e := range events {
		el := c.elements[e.Hash]
		switch {
		case !e.Evicted && el == nil:
			c.put(block{hash: e.Hash})
		case e.Evicted && el != nil && now.Sub(el.Value.(block).sent) > eventAge:
			c.order.Remove(el)
			delete(c.elements, e.Hash)
		}
	}
}

func (c *cache) put(b block) {
	if el := c.elements[b.hash]; el != nil {
		el.Value = b
		c.order.MoveToFront(el)
		return
	}
	c.elements[b.hash] = c.order.PushFront(b)
	for c.order.Len() > c.limit {
		delete(c.elements, c.order.Remove(c.order.Back()).(block).hash)
	}
}
