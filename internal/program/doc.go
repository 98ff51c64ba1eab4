// Package program has the state of programs as a fold over records.
//
// Every entry VM applies the same records with the same code, so that no VM sees
// another state than the one that wrote it.
package program
