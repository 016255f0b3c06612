package detector

// blockIndex holds blocks by their first keys, so that those that a request matches are
// found without a look at all.
type blockIndex map[string][]*block

func newBlockIndex(blocks []*block) blockIndex {
	index := blockIndex{}
	for _, b := range blocks {
		if len(b.keys) > 0 {
			index[b.keys[0]] = append(index[b.keys[0]], b)
		}
	}
	return index
}

// visit calls found for each block whose keys are all among the given ones.
func (x blockIndex) visit(keys []string, found func(*block)) {
	for i, key := range keys {
		for _, b := range x[key] {
			if isFirst(keys, i) && includes(keys, b.keys) {
				found(b)
			}
		}
	}
}

// covers reports whether a block refuses all requests with the keys.
func (x blockIndex) covers(keys []string) bool {
	covered := false
	x.visit(keys, func(*block) { covered = true })
	return covered
}

// isFirst reports whether the key at a position doesn't stand before it.
func isFirst(keys []string, i int) bool {
	for _, key := range keys[:i] {
		if key == keys[i] {
			return false
		}
	}
	return true
}
