// Package failure defines the typed errors that are returned to callers and
// operators.
//
// Every error has a kind that is stable in the API, a message that names the remedy,
// and a flag that says whether the call certainly did not run. NotRun is a promise: it
// is set only if no process can run the call any more.
package failure
