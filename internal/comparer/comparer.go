package comparer

import (
	"time"
)

// Account is the demand for one client account.
type Account struct {
	Name string
	// Budget is the prepaid budget, in tokens.
	Budget int64
	// Weight is the relative number of requests.
	Weight float64
	// Home is the zone, by its number, in which most requests arrive.
	Home int
}

// Cut is a partition of one zone from the others and from the log.
type Cut struct {
	Zone  int
	From  time.Duration
	Until time.Duration
}

// Config configures a Comparer.
type Config struct {
	// Zones are the numbers of instances in each zone.
	Zones    []int
	Accounts []Account
	// Skew is the share of an account's requests that arrive in its home zone.
	// The rest is spread evenly over the other zones.
	Skew float64
	// Rate is the number of requests per second, with Poisson arrivals.
	Rate   float64
	Length time.Duration
	// Cut is a partition; it has no effect if Until is 0.
	Cut Cut
	// Crash is the time between the deaths of instances, 0 for none.
	Crash time.Duration
	// Reserve is the setting of the same name in the configuration.
	Reserve float64
	// Seed is the seed of the workload.
	Seed uint64
	// Path is an empty folder for the journals of the holders.
	Path string
}

// Comparer holds one workload.
type Comparer struct {
	cfg    Config
	events []event
}

// New generates the workload, which depends on the configuration without
// Reserve and Path alone.
func New(cfg Config) *Comparer {
	return &Comparer{cfg: cfg, events: generate(cfg)}
}

// Requests returns the number of requests of the workload.
func (c *Comparer) Requests() int { return len(c.events) }

func zoneName(i int) string { return string(rune('a' + i)) }

func (c Cut) contains(at time.Duration) bool { return at >= c.From && at < c.Until }
