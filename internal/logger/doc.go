// Package logger writes JSON log lines with fields for the entry VM and the request.
//
// Lines contain only ids, kinds, numbers and constant strings. No method adds other
// strings, so that the log contains neither requests of callers nor answers of
// upstreams. The exception is Zerolog, for packages that take a zerolog.Logger.
// Callers choose the call ids, which are therefore truncated to a maximum length.
package logger
