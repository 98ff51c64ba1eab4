// Package loader reads settings from TOML files and reports all errors of a file
// at once.
//
// An error has the file, the line, the key, the cause and a remedy. It never
// quotes string values of the file, because a secret may have been put in place
// of another value.
package loader
