// Package enginecaller streams completions from model engines.
//
// One call uses one connection at a time. A stream is whole when it has the
// usage and the end marker and the count of tokens matches. A stream that
// breaks off after its first token is resumed at the position received, on a
// new connection to the same engine. Nothing is run again here: when resuming
// fails, the error says how many chunks were delivered.
package enginecaller
