package detector

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// clearSuspect clears a key that is suspected or blocked. The caller holds mu.
func (d *Detector) clearSuspect(key string, at time.Time) {
	if d.isSuspect(key) {
		d.setCleared(key, at)
	}
}

// setCleared clears a key that was answered at a time, also from blocks. The
// caller holds mu.
func (d *Detector) setCleared(key string, at time.Time) {
	now := d.cfg.Now()
	if old := d.cleared[key]; old == nil {
		if len(d.cleared) >= maxCleared {
			d.expireCleared(now)
		}
		d.cleared[key] = &clearance{at: at, version: d.nextVersion()}
	} else if at.Sub(old.at) > answerMemory/2 {
		old.at, old.version = at, d.nextVersion()
	}
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool {
		i := slices.Index(b.keys, key)
		if i < 0 {
			return false
		}
		b.keys, b.version = slices.Delete(slices.Clone(b.keys), i, i+1), d.nextVersion()
		if len(b.keys) == 0 {
			d.cfg.Logger.Info("content no longer blocked", zap.Strings("keys", []string{key}), zap.String("reason", "answered by a target"))
		}
		return len(b.keys) == 0
	})
}

// expireCleared makes room for a clearance. Those of keys that nobody suspects any
// more go first, all at once: looking for one at a time takes longer than the rest of a
// storm. The caller holds mu.
func (d *Detector) expireCleared(now time.Time) {
	d.sweeps++
	maps.DeleteFunc(d.cleared, func(key string, c *clearance) bool {
		return now.Sub(c.at) > answerMemory || !d.isSuspect(key)
	})
	if len(d.cleared) < maxCleared {
		return
	}
	oldest := ""
	for key, c := range d.cleared {
		if oldest == "" || c.at.Before(d.cleared[oldest].at) {
			oldest = key
		}
	}
	delete(d.cleared, oldest)
}

// isCleared reports whether a key counts as harmless. The caller holds mu.
func (d *Detector) isCleared(key string, now time.Time) bool {
	if c := d.cleared[key]; c != nil && now.Sub(c.at) <= answerMemory {
		return true
	}
	_, ok := d.lastAnswer(key, now)
	return ok
}
