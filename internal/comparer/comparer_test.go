package comparer

import (
	"testing"
	"testing/synctest"
	"time"
)

// workload is three accounts with skewed demand, the largest of which
// spends its budget. One percent of that is several times what runs at once.
func workload(t *testing.T) Config {
	return Config{
		Zones: []int{3, 3, 2}, Skew: 0.8, Rate: 1, Length: 15 * time.Minute, Reserve: 0.25, Seed: 7, Path: t.TempDir(),
		Accounts: []Account{
			{Name: "large", Budget: 284_000, Weight: 6, Home: 0},
			{Name: "middle", Budget: 2_000_000, Weight: 3, Home: 1},
			{Name: "small", Budget: 1_000_000, Weight: 1, Home: 2},
		},
	}
}

func escrowOf(t *testing.T, cfg Config) (result Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if result, err = New(cfg).Escrow(); err != nil {
			t.Error(err)
		}
	})
	return result
}

// Refusals while tokens are left, without any fault, would show that rights
// don't follow demand.
func TestEscrowRefusesNothingUntilABudgetIsNearlySpent(t *testing.T) {
	got := escrowOf(t, workload(t))
	if got.Overspend != 0 || got.Phases[Body].False != 0 {
		t.Errorf("got overspend %d, %d false refusals before 99%%, want none", got.Overspend, got.Phases[Body].False)
	}
}

// A zone that holds no more rights than it needs for the next seconds would
// refuse as much in a cut as the static split does.
func TestEscrowRefusesATenthOfTheStaticSplitInACut(t *testing.T) {
	cfg := workload(t)
	cfg.Accounts[0].Budget = 426_000
	cfg.Cut = Cut{Zone: 0, From: 6 * time.Minute, Until: 12 * time.Minute}
	got, want := escrowOf(t, cfg), New(cfg).Static()
	if got.Overspend != 0 {
		t.Errorf("got overspend %d, want 0", got.Overspend)
	}
	if want.Cut.False == 0 || 10*got.Cut.False > want.Cut.False {
		t.Errorf("got %d false refusals, want at most a tenth of %d", got.Cut.False, want.Cut.False)
	}
}

// The allowance of a dead instance must become free, and must not be spent
// twice.
func TestEscrowSurvivesInstancesThatDie(t *testing.T) {
	cfg := workload(t)
	cfg.Crash = time.Minute
	got := escrowOf(t, cfg)
	if got.Overspend != 0 || got.Phases[Body].False != 0 {
		t.Errorf("got overspend %d, %d false refusals before 99%%, want none", got.Overspend, got.Phases[Body].False)
	}
	if got.Unbilled == 0 {
		t.Error("no request was running on an instance that died")
	}
}
