package rows

import (
	"context"
	"time"

	"github.com/juju/errors"
)

type (
	// Table names a table of the store.
	Table string
	// Part names a part of a table; rows of one part are written one
	// transaction after another.
	Part string
	// Key names a row in a part.
	Key string
	// Version counts the transactions of the store. Version 0 of a row says
	// that there is none.
	Version uint64
	// Clock is a moment of the store's steady clock. It can be compared with
	// other moments of the same store only.
	Clock time.Duration
)

// ID names a row.
type ID struct {
	Table Table
	Part  Part
	Key   Key
}

// Row is a row at one version.
type Row struct {
	ID
	Value   []byte
	Version Version
}

// Condition is the version that a row must have for a transaction to apply.
type Condition struct {
	ID
	Version Version
}

// Put writes a row.
type Put struct {
	ID
	Value []byte
}

// Transaction is a set of changes that apply together.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []ID
}

// Range names the rows of a part from From, if it is not empty, up to but not
// including To, if that is not empty.
type Range struct {
	Table Table
	Part  Part
	From  Key
	To    Key
}

// Page is what the store said about rows at one moment.
type Page struct {
	Rows []Row
	// Removed lists rows that were removed since the version asked for.
	Removed []ID
	Version Version
	Clock   Clock
}

// Outcome is what became of a transaction. The interface is sealed: the
// variants are the types of this package.
type Outcome interface{ outcome() }

// Committed says that the transaction was applied at a version.
type Committed struct{ Version Version }

// Conflict says that a condition did not hold. It has the rows of the
// conditions as they are; rows that do not exist are left out.
type Conflict struct{ Rows []Row }

func (Committed) outcome() {}
func (Conflict) outcome()  {}

// Errors of the store.
const (
	// ErrUnavailable says that the store did nothing.
	ErrUnavailable = errors.ConstError("the platform's store refused the request; try again later")
	// ErrUnknown says that there was no answer: a transaction may have been
	// applied, or may still be as long as its conditions hold.
	ErrUnknown = errors.ConstError("the platform's store did not answer; read the rows to learn what happened")
	// ErrCompacted says that changes since a version are no longer known.
	ErrCompacted = errors.ConstError("the platform's store dropped its history; read the table")
)

// Store reads and writes rows. Every call ends within a time limit of the
// implementation. Errors have one of this package's errors as their cause.
type Store interface {
	Commit(ctx context.Context, t Transaction) (Outcome, error)
	// Read returns all rows of a range as of one moment, or as of the moments
	// of several reads if they do not fit into one answer.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of a table that changed after a version. It
	// waits for the first change at most as long as wait says.
	Changes(ctx context.Context, t Table, after Version, wait time.Duration) (Page, error)
}

// Find returns the row of an id.
func Find(rows []Row, id ID) (Row, bool) {
	for _, row := range rows {
		if row.ID == id {
			return row, true
		}
	}
	return Row{}, false
}
