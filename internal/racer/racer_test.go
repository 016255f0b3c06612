package racer

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/router"
)

// Under each policy every answer must be whole and the caller's own, and a
// light load must not be refused.
func TestRun(t *testing.T) {
	for _, policy := range router.Policies() {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			r := New(Config{Engines: 3, Entries: 2, Policy: policy, Rate: 10, Time: time.Second, Seed: 1, Logger: zap.NewNop()})
			result, _, err := r.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if result.Broken() || result.OK != result.Sent || result.Sent == 0 {
				t.Errorf("got %d of %d answers, violations %v", result.OK, result.Sent, result.Examples)
			}
		})
	}
}
