// Package detector finds the contents that crash the targets that run them: one
// part of a prompt, or a whole request.
//
// A content is a set of keys: the parts of the prompt without the last one, which
// belongs to the request alone, and the digest of the request with its prompt. When a target ends,
// the keys of each request that it hadn't answered yet are suspected; if it had
// begun to answer some of them, only those. A key that a target has answered is
// cleared: a deadly one is never answered. Keys that stay suspected over several
// crashes are blocked.
//
// A part that only occurs beside a deadly one is suspected as often. So a block has
// all keys that its crashes have in common, and refuses only requests with all of
// them. The sound requests that have some of them pass, are answered, and clear
// these keys from the block. For the same reason a crash that a block explains
// isn't held against other keys.
//
// Instances exchange crashes, clearances and blocks as facts that only add up, in
// any order and over any path, so that a new leader learns them from the entry
// instances. Times travel as ages, because clocks differ. A caller that crashes
// targets with ever new parts leaves one crash for each of them, and can't get the
// parts beside them blocked as long as other requests with these are answered.
package detector
