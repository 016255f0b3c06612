// Package announcer registers a target with the entry instances of the fleet by
// POST /v1/targets every second. Targets aren't configured anywhere: one that
// stops announcing itself expires after 3 s.
package announcer
