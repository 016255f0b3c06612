// Package tracker tracks the requests in flight on an instance and reports those
// that continue past their deadline.
//
// Every request ends at its deadline. One that doesn't is blocked inside the
// instance, for example by a deadlock, which nothing but a restart ends. Time in
// which a request waits for its caller doesn't count.
package tracker
