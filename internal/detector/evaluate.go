package detector

import (
	"maps"
	"slices"
	"time"
)

// evaluateIfDue evaluates the crashes that were added since the last evaluation, in a
// storm after a pause, and returns the new blocks. The caller holds mu.
func (d *Detector) evaluateIfDue() []*block {
	now := d.cfg.Now()
	if !d.outdated || len(d.crashes) > stormCrashes && now.Sub(d.evaluated) < evaluationInterval {
		return nil
	}
	d.outdated, d.evaluated = false, now
	d.evaluations++
	return d.evaluate()
}

// evaluate blocks the contents that explain enough crashes, and returns the new
// blocks. The caller holds mu.
func (d *Detector) evaluate() []*block {
	now := d.cfg.Now()
	d.expireCrashes()
	d.expireBlocks(now)
	lifetimes := d.lifetimes()
	d.updateBlocks(lifetimes)
	var added []*block
	for range maxNewBlocks {
		b := d.nextBlock(lifetimes, now)
		if b == nil {
			break
		}
		d.addBlock(b)
		d.updateBlocks(lifetimes)
		added = append(added, b)
	}
	return added
}

// lifetimes returns the crashes by target. If a target had begun to answer some of
// its requests, these alone are suspected. The caller holds mu.
func (d *Detector) lifetimes() map[string][]*crash {
	all := map[string][]*crash{}
	for _, c := range d.crashes {
		list := all[c.target]
		switch {
		case len(list) > 0 && c.started && !list[0].started:
			all[c.target] = []*crash{c}
		case len(list) == 0 || c.started == list[0].started:
			all[c.target] = append(list, c)
		}
	}
	return all
}

// accusation is what the crashes say about one key.
type accusation struct {
	crashes []*crash // one of each lifetime
	common  []string // suspects that all crashes have in common
}

// count returns the number of crashes, where simultaneous ones of targets that
// hadn't begun to answer count once.
func (a *accusation) count() int {
	n := 0
	var last time.Time
	for _, c := range slices.SortedFunc(slices.Values(a.crashes), func(a, b *crash) int { return a.at.Compare(b.at) }) {
		if n == 0 || c.started || c.at.Sub(last) > simultaneousCrashes {
			n++
		}
		last = c.at
	}
	return n
}

// last returns the time of the last crash.
func (a *accusation) last() time.Time {
	return slices.MaxFunc(a.crashes, func(a, b *crash) int { return a.at.Compare(b.at) }).at
}

// hasRival reports whether another key explains all crashes but one. The key may then
// have been beside a deadly one, and on one connection that broke for another reason.
func (a *accusation) hasRival(accused map[string]*accusation) bool {
	for key, o := range accused {
		if slices.Contains(a.common, key) {
			continue
		}
		shared := 0
		for _, c := range a.crashes {
			if slices.ContainsFunc(o.crashes, func(d *crash) bool { return d.target == c.target }) {
				shared++
			}
		}
		if shared >= len(a.crashes)-1 {
			return true
		}
	}
	return false
}

// nextBlock returns a block for the key that explains most crashes, or nil if none
// reaches the limit. The caller holds mu.
func (d *Detector) nextBlock(lifetimes map[string][]*crash, now time.Time) *block {
	accused := map[string]*accusation{}
	index := newBlockIndex(d.blocks)
	for _, target := range slices.Sorted(maps.Keys(lifetimes)) {
		d.accuse(accused, lifetimes[target], index, now)
	}
	var best *accusation
	for _, key := range slices.Sorted(maps.Keys(accused)) {
		a := accused[key]
		if len(a.crashes) >= crashLimit && a.count() >= crashLimit && !index.covers(a.common) && (best == nil || a.count() > best.count()) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	certain := !slices.ContainsFunc(best.crashes, func(c *crash) bool { return !c.started }) && !best.hasRival(accused)
	return &block{keys: best.common, lastCrash: best.last(), lastSeen: now, told: now, tried: certain, version: d.nextVersion()}
}

// accuse adds one crashed lifetime to the accusations. The caller holds mu.
func (d *Detector) accuse(accused map[string]*accusation, list []*crash, index blockIndex, now time.Time) {
	here := map[string]*accusation{}
	explained := explanation(list, index)
	for _, c := range list {
		suspects := d.suspectsOf(c, explained, now)
		for _, key := range suspects {
			a := here[key]
			if a == nil {
				a = &accusation{crashes: []*crash{c}, common: suspects}
				here[key] = a
			}
			a.common = intersect(a.common, suspects)
		}
	}
	for key, h := range here {
		a := accused[key]
		if a == nil {
			a = &accusation{common: h.common}
			accused[key] = a
		}
		a.crashes = append(a.crashes, h.crashes...)
		a.common = intersect(a.common, h.common)
	}
}

// explanation returns the keys of the blocks that explain the crash of a target. The
// caller holds mu.
func explanation(lifetime []*crash, index blockIndex) []string {
	var keys []string
	for _, c := range lifetime {
		index.visit(c.keys, func(b *block) { keys = append(keys, b.keys...) })
	}
	return keys
}

// suspectsOf returns the keys of a crash that aren't cleared, sorted. If blocks explain
// the crash of the target, only their keys remain. The caller holds mu.
func (d *Detector) suspectsOf(c *crash, explained []string, now time.Time) []string {
	var list []string
	for _, key := range c.keys {
		if !d.isCleared(key, now) && (explained == nil || slices.Contains(explained, key)) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// isCovered reports whether a block refuses all requests with the keys. The caller
// holds mu.
func (d *Detector) isCovered(keys []string) bool {
	return slices.ContainsFunc(d.blocks, func(b *block) bool { return includes(keys, b.keys) })
}

// addBlock adds a block in place of those that it covers. The caller holds mu.
func (d *Detector) addBlock(b *block) {
	d.blocks = slices.DeleteFunc(d.blocks, func(o *block) bool { return includes(o.keys, b.keys) })
	if len(d.blocks) >= maxBlocks {
		first := slices.MinFunc(d.blocks, func(a, b *block) int { return a.lastSeen.Compare(b.lastSeen) })
		d.blocks = slices.DeleteFunc(d.blocks, func(o *block) bool { return o == first })
	}
	d.blocks = append(d.blocks, b)
}

// updateBlocks adds crashes to the blocks that explain them. The caller holds mu.
func (d *Detector) updateBlocks(lifetimes map[string][]*crash) {
	index := newBlockIndex(d.blocks)
	for target, list := range lifetimes {
		for _, c := range list {
			index.visit(c.keys, func(b *block) { d.addTarget(b, target, c.at) })
		}
	}
}

// addTarget adds a crashed target to a block. The caller holds mu.
func (d *Detector) addTarget(b *block, target string, at time.Time) {
	if at.After(b.lastCrash) {
		b.lastCrash = at
	}
	if len(b.targets) <= crashLimit && !slices.Contains(b.targets, target) {
		b.targets = append(b.targets, target)
		b.version = d.nextVersion()
	}
}

// intersect returns the keys that both sorted lists have.
func intersect(a, b []string) []string {
	var list []string
	for _, key := range a {
		if _, ok := slices.BinarySearch(b, key); ok {
			list = append(list, key)
		}
	}
	return list
}
