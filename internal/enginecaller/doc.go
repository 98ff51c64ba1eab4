// Package enginecaller streams completions from model engines.
//
// A call uses one connection at a time. A stream is complete if it contains the
// usage and the end marker, and if the usage matches the number of tokens
// received. A stream that breaks after its first token is resumed at that
// position, on a new connection to the same engine. The package never reruns a
// request: if resuming fails, the error reports how many chunks were delivered.
package enginecaller
