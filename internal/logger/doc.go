// Package logger writes JSON lines that name the entry VM and the request.
//
// Lines have ids, kinds, numbers and fixed texts. No method adds other texts, so
// that neither what callers send nor what upstreams answer gets into the log.
// The exception is Zerolog, for packages that take a zerolog.Logger. Call ids
// are chosen by callers and are cut to a fixed length.
package logger
