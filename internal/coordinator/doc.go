// Package coordinator is the service of the core instances for the general
// routes: it commits rulesets, announcements of targets and allowances to the
// replicated log, and tells entry instances what is in force.
//
// Only the leader of the log answers; another instance passes operators' and
// targets' calls on to it and names it to entry instances. What is lost with
// the leader is soft: which instances are in touch, their work in flight, and
// when targets were heard of.
package coordinator
