// Package ledger keeps what programs have said in the platform's store, so that
// any VM can serve any turn of a program.
//
// No VM owns a program. The turns of a program are in one part of the store,
// each with its input and output and the turn that it continues. A turn is
// stored before its answer ends, since callers may continue it from then on.
package ledger
