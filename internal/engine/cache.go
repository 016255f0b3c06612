package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/papayapond/papayapond/internal/completion"
)

const (
	// blockBytes is the number of prompt bytes in a block of the prefix cache.
	blockBytes = 256
	// maxEvents is the maximum number of unannounced cache events.
	maxEvents = 4096
)

var blockTokens = completion.Tokens(blockBytes)

// cache is an LRU prefix cache of whole blocks.
type cache struct {
	size     int
	now      func() time.Time
	order    *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	at       time.Time
	sequence uint64
	hash     uint64
	evicted  bool
}

func newCache(size int, now func() time.Time) *cache {
	return &cache{size: size, now: now, order: list.New(), elements: map[uint64]*list.Element{}}
}

// blockHashes returns the hash of each prefix of the prompt that ends at a block
// boundary: the 64-bit FNV-1a hash of the model, a line feed and the prefix.
func blockHashes(model string, prompt []byte) []uint64 {
	h := fnv.New64a()
	h.Write([]byte(model + "\n"))
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		h.Write(prompt[:blockBytes])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// match returns the number of leading blocks that are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.elements[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// store makes the blocks the most recently used ones, adding missing ones. It
// touches the first block last, so that the end of a prompt is evicted before its
// beginning.
func (c *cache) store(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if el := c.elements[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.elements[h] = c.order.PushFront(h)
		c.record(h, false)
		if c.order.Len() > c.size {
			last := c.order.Back()
			old := c.order.Remove(last).(uint64)
			delete(c.elements, old)
			c.record(old, true)
		}
	}
}

func (c *cache) record(hash uint64, evicted bool) {
	c.sequence++
	if len(c.events) == maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, cacheEvent{c.now(), c.sequence, hash, evicted})
}

// takeEvents removes and returns the events up to the given time.
func (c *cache) takeEvents(at time.Time) []cacheEvent {
	n := 0
	for n < len(c.events) && !c.events[n].at.After(at) {
		n++
	}
	due := c.events[:n:n]
	c.events = c.events[n:]
	return due
}
