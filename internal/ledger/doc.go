// Package ledger stores the conversation history of programs in the platform's
// store, so that any VM can serve any turn of a program.
//
// No VM owns a program. The turns of a program are stored in one part of the
// store, each with its input, its output and the ID of the turn that it
// continues. A turn is stored before its response ends, because callers may
// continue it from then on.
package ledger
