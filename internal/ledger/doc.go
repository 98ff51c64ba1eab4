// Package ledger keeps what a program has spent and said in the platform's
// store, so that any VM can serve any turn of the program.
//
// No VM owns a program. All rows of a program are in one part of the store: the
// budget row, whose version guards all reservations, and for each turn a row
// with its reservation and, for retained turns, rows with its text. A turn is
// reserved at its largest size before it is sent, by a transaction that names
// the versions of the budget row and of the turn's own row. It is settled at
// what callers received. A turn whose VM stopped stays reserved.
package ledger
