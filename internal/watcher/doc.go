// Package watcher follows the update stream of an instance and cancels it when
// updates stop arriving.
package watcher
