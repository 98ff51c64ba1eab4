// Package loader reads settings from TOML and reports all errors in one run.
//
// An error names the file, the line, the key, what is wrong and the remedy. It
// never repeats text values of the file, because a token or a key may stand
// where another value belongs.
package loader
