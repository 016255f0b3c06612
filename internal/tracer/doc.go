// Package tracer knows which software version began a resumable stream. Targets of
// several versions serve side by side, and a stream may go on only at the version
// whose first event a caller has got.
//
// A record is the key of the request that brought the first event, and the pool and
// the version of the target that answered it. It is made once and never changes, so
// that any instance that holds one may answer from it; instances exchange records in
// any order.
//
// Without a record, the history of a pool may tell: if all targets that were listed
// since a stream can have begun had the same version, that version began it, unless
// requests for its host went to other pools then. Only the core instances see each
// listed target and each ruleset, so only they keep a history.
package tracer
