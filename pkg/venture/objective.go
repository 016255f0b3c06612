package venture

// Measures of objectives.
const (
	// FirstToken is the time to the first token, in milliseconds.
	FirstToken = "first-token"
	// BetweenTokens is the time between two tokens, in milliseconds.
	BetweenTokens = "between-tokens"
	// Availability is the share of requests that get a complete response.
	Availability = "availability"
	// FalseRefusals is the share of requests that are not refused for lack of
	// budget while the account has unspent tokens.
	FalseRefusals = "false-refusals"
	// Overspend is the amount spent beyond the budget, in tokens.
	Overspend = "overspend"
)

// Objective is a service-level objective. It applies to the requests of one
// account or of one class or, if both are empty, to all requests.
type Objective struct {
	// Name is unique among the objectives.
	Name string `toml:"name"`
	// Account is the name of an account, or empty.
	Account string `toml:"account"`
	// Class is a request class, or empty.
	Class string `toml:"class"`
	// Measure is one of the measures above.
	Measure string `toml:"measure"`
	// Limit is the limit on the measure in its unit; 0 for the shares.
	Limit int64 `toml:"limit"`
	// Share is the minimum share of requests that meet the limit, above 0 and
	// up to 1.
	Share float64 `toml:"share"`
}

// Measures returns all measures.
func Measures() []string {
	return []string{FirstToken, BetweenTokens, Availability, FalseRefusals, Overspend}
}
