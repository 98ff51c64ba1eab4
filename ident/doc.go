// Package ident defines the identifier types of the system.
//
// Every identifier that crosses a package boundary has a type of its own, so
// that the compiler rejects a call id where a program id is expected.
package ident
