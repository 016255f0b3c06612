package blocker

import (
	"testing"
	"time"
)

// Content that crashes its targets must be blocked after two of them. Content
// that merely ran on the same target must not be.
func TestCrashLimit(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{Now: func() time.Time { return now }})
	bad, good := []byte("bad"), []byte("good")
	b.RecordCrash(bad, "e1/1")
	b.RecordCrash(good, "e1/1")
	if b.IsBlocked(bad) {
		t.Error("blocked after one target, want two targets")
	}
	b.Clear(good)
	b.RecordCrash(bad, "e1/1")
	if b.IsBlocked(bad) {
		t.Error("blocked after the same crash was recorded twice")
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
		t.Error("still blocked after the retention time")
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
		t.Errorf("second TakeChanges: got %d entries, want %d", got, want)
	}
}

// Changes that couldn't be sent must be sent with the next message, or a content that
// crashes targets is counted at one instance only.
func TestRestore(t *testing.T) {
	b := New(Config{})
	b.RecordCrash([]byte("bad"), "e1/1")
	lost := b.TakeChanges()
	b.RecordCrash([]byte("worse"), "e1/1")
	b.Restore(lost)
	if got, want := len(b.TakeChanges()), 2; got != want {
		t.Errorf("got %d entries to send, want %d", got, want)
	}
}
