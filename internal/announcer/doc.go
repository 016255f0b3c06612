// Package announcer tells the entry instances of the fleet about a target, by
// POST /v1/targets every second. There is no list of targets: a target that
// stops announcing itself is forgotten after 3 s.
package announcer
