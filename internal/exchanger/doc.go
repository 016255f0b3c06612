// Package exchanger is an HTTP/1.1 client for targets that sends one request at
// a time on a connection.
//
// It differs from net/http where that affects retries: a connection closed by
// the target is detected before a request is written to it, no request is ever
// sent twice, a late response to an earlier request is recognized and
// discarded, errors tell whether the target may have received the request, and
// responses whether they certainly answer it.
package exchanger
