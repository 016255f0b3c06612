package router

import (
	"container/list"
	"time"

	"github.com/papayapond/papayapond/internal/hasher"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// bytesPerToken is the typical ratio for English text.
	bytesPerToken = 4
	blockTokens   = hasher.Block / bytesPerToken
	// maxBlocks limits the blocks tracked per prompt, maxCache those per
	// target, and maxTotal those of all targets. A block takes about 200 bytes,
	// so that all of them fit in 26 MB.
	maxBlocks = 64
	maxCache  = 2048
	maxTotal  = 1 << 17
	// eventAge is the typical age of a cache event on arrival. An eviction that
	// arrives less than eventAge after a request with the block precedes that
	// request.
	eventAge = 2 * time.Second
)

func tokenCount(bytes int) int { return (bytes + bytesPerToken - 1) / bytesPerToken }

// cache estimates the prefix cache of a target from its announced events and
// the prompts sent by this instance. Events arrive late and can be lost, so it
// also evicts the least recently used blocks itself.
type cache struct {
	limit    int        // in blocks
	order    *list.List // of block, most recently used first
	elements map[uint64]*list.Element
}

type block struct {
	hash   uint64
	sentAt time.Time // when this instance last sent it
}

func newCache() *cache {
	return &cache{limit: maxCache, order: list.New(), elements: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are probably cached. Blocks
// before the last known one count even if unknown, since their events may have
// been lost.
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

// addPrompt records a prompt sent to the target. It adds the first block last,
// so that the end of a prompt is evicted first.
func (c *cache) addPrompt(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.put(block{hashes[i], now})
	}
}

// applyEvents applies announced cache events.
func (c *cache) applyEvents(events []*wire.Cache, now time.Time) {
	for _, e := range events {
		el := c.elements[e.Hash]
		switch {
		case !e.Evicted && el == nil:
			c.put(block{hash: e.Hash})
		case e.Evicted && el != nil && now.Sub(el.Value.(block).sentAt) > eventAge:
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
