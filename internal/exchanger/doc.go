// Package exchanger sends HTTP/1.1 requests to targets and reads their
// answers, one request at a time on a connection.
//
// It differs from the client of net/http where the difference decides about a
// repeat: a connection that the target has closed is found before a request is
// written to it, nothing is ever sent twice, an answer to an earlier request is
// recognised and dropped, and an error tells whether the target may have seen
// the request.
package exchanger
