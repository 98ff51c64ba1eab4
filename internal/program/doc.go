// Package program has the durable state of programs as a fold over records.
//
// The running owner and a recovery apply the same records with the same code,
// so that a recovered state can't differ from the one that was lost.
package program
