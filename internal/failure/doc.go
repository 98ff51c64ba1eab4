// Package failure has the typed errors that reach callers and operators.
//
// Every error has a kind that is stable in the API, a message that names the
// remedy, and says whether the call certainly did not run. NotRun is a promise:
// it is set only where no process can run the call any more.
package failure
