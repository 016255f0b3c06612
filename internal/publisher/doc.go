// Package publisher streams the configuration, the phase of the venture, target
// changes and blocked contents to the instances that watch it, and receives the
// announcements that they forward. It runs on instances with a control member.
package publisher
