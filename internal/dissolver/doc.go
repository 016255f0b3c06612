// Package dissolver closes a venture that is being dissolved: it releases the
// tokens of all zones and closes the venture when the balances match.
package dissolver
