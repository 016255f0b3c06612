// Package watcher follows the update stream of a holder and ends it when it
// goes silent.
package watcher
