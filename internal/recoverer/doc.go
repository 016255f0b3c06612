// Package recoverer ends a task that panics and lets the process go on.
//
// net/http recovers panics of its handlers only. A panic in any other goroutine or
// timer ends the process with all the requests that it serves. A Recoverer runs the
// tasks that belong to one request, or to one message of another process: it logs the
// panic with its stack and counts it, and the task fails with an error.
//
// What changes durable state (the replicated log, the journal, the controller) must not
// run under a Recoverer. After a panic there, memory and disk may differ, and the
// process must end and read the state back.
//
// A task that may panic must release its locks in deferred calls. Fatal errors of the
// runtime, such as concurrent writes of a map, can't be recovered.
package recoverer
