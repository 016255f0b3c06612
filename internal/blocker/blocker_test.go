package blocker

import (
	"testing"
	"time"
)

// A content that crashes its targets must be stopped after two of them, and
// one that merely shared a target with it must not be.
func TestLimit(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{Now: func() time.Time { return now }})
	bad, good := []byte("bad"), []byte("good")
	b.RecordCrash(bad, "e1/1")
	b.RecordCrash(good, "e1/1")
	if b.IsBlocked(bad) {
		t.Error("blocked after one target, want two")
	}
	b.Clear(good)
	b.RecordCrash(bad, "e1/1")
	if b.IsBlocked(bad) {
		t.Error("the same crash counted twice")
	}
	b.RecordCrash(bad, "e2/1")
	b.RecordCrash(good, "e2/1")
	if !b.IsBlocked(bad) {
		t.Error("not blocked after two targets")
	}
	if b.IsBlocked(good) {
		t.Error("innocent content is blocked")
	}
	now = now.Add(Retention)
	if b.IsBlocked(bad) {
		t.Error("blocked after the retention time")
	}
}

// Crashes seen by different instances must add up.
func TestMerge(t *testing.T) {
	one, two := New(Config{}), New(Config{})
	one.RecordCrash([]byte("bad"), "e1/1")
	two.RecordCrash([]byte("bad"), "e2/1")
	two.Merge(one.TakeChanges())
	if !two.IsBlocked([]byte("bad")) {
		t.Error("not blocked after the merge")
	}
	if got, want := len(one.TakeChanges()), 0; got != want {
		t.Errorf("fresh after Fresh: got %d, want %d", got, want)
	}
}
