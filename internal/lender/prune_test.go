package lender

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Instances that didn't answer must not stay in memory for good: in a large fleet, each
// restart at another address would leave an entry.
func TestAvoidPruned(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Config{Now: func() time.Time { return now }})
	for i := range 1000 {
		l.markUnreachable(fmt.Sprint("e", i), "lender did not answer", errors.New("refused"))
		now = now.Add(avoidDuration / 4)
	}
	if got, want := len(l.avoid), 5; got > want {
		t.Errorf("got %d instances that aren't asked, want at most %d", got, want)
	}
	if now.After(l.avoid["e999"]) {
		t.Error("the last instance is asked before its time is over")
	}
}
