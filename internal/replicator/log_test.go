package replicator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Without these lines an operator sees only that no leader is known, but not
// which voter was missing, since when, and why the others could not elect a
// leader.
func TestMissingVoterIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		c := newCluster(t, 15, "a", "b", "c")
		c.logger = zap.New(core)
		c.startAll()
		defer c.stopAll()
		c.awaitApplied()
		leader, _ := c.leader()
		others := c.others(leader)
		for range 2 {
			c.isolate(others[0], true)
			time.Sleep(3 * c.election)
			c.isolate(others[0], false)
			time.Sleep(3 * c.election)
		}
		for _, message := range []string{"peer unreachable", "peer reachable again"} {
			if got := logs.FilterMessage(message).FilterField(zap.String("peer", others[0])).Len(); got != 2 {
				t.Errorf("%s: got %d lines for %s, want 2", message, got, others[0])
			}
		}
		c.isolate(others[0], true)
		c.crash(leader)
		time.Sleep(20 * c.election)
		lost := logs.FilterMessage("election lost").FilterField(zap.String("member", others[1])).All()
		if len(lost) == 0 || len(lost) > 3 {
			t.Fatalf("got %d lost elections of %s logged, want 1 to 3", len(lost), others[1])
		}
		if answers, _ := lost[len(lost)-1].ContextMap()["answers"].(string); !strings.Contains(answers, others[0]) || !strings.Contains(answers, leader) {
			t.Errorf("answers: got %q, want those of %s and %s", answers, others[0], leader)
		}
	})
}
