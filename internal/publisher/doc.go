// Package publisher runs on holders. It streams the configuration, the phase
// of the venture, target changes and blocked contents to the instances that
// watch it, and takes the announcements that they pass on.
package publisher
