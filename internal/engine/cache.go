package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"github.com/papayapond/papayapond/internal/completion"
)

const (
	// blockBytes of the prompt form one block of the prefix cache.
	blockBytes = 256
	// keptEvents bounds the cache events that wait to be announced.
	keptEvents = 4096
)

var blockTokens = completion.Tokens(blockBytes)

// cache is a prefix cache of whole blocks that evicts the least recently used.
type cache struct {
	size     int
	now      func() time.Time
	order    *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
	sequence uint64
	events   []event
}

type event struct {
	at       time.Time
	sequence uint64
	hash     uint64
	evicted  bool
}

func newCache(size int, now func() time.Time) *cache {
	return &cache{size: size, now: now, order: list.New(), elements: map[uint64]*list.Element{}}
}

// blocks returns the hash of each prefix of the prompt that ends at a block
// boundary: FNV-1a, 64 bits, of the model, a line feed and the prefix.
func blocks(model string, prompt []byte) []uint64 {
	h := fnv.New64a()
	h.Write([]byte(model + "\n"))
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		h.Write(prompt[:blockBytes])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// match returns how many leading blocks are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.elements[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// store makes the blocks the most recently used, the first block last, so that
// the end of a prompt is evicted before its beginning.
func (c *cache) store(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if el := c.elements[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.elements[h] = c.order.PushFront(h)
		c.note(h, false)
		if c.order.Len() > c.size {
			last := c.order.Back()
			old := c.order.Remove(last).(uint64)
			delete(c.elements, old)
			c.note(old, true)
		}
	}
}

func (c *cache) note(hash uint64, evicted bool) {
	c.sequence++
	if len(c.events) == keptEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, event{c.now(), c.sequence, hash, evicted})
}

// due removes and returns the events that happened up to the time.
func (c *cache) due(at time.Time) []event {
	n := 0
	for n < len(c.events) && !c.events[n].at.After(at) {
		n++
	}
	due := c.events[:n:n]
	c.events = c.events[n:]
	return due
}
