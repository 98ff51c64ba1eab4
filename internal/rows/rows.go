package rows

import (
	"context"
	"time"

	"github.com/juju/errors"
)

type (
	// Table names a table of the store.
	Table string
	// Partition names a part of a table. Writes to one part are serialized.
	Partition string
	// Key identifies a row within a part.
	Key string
	// Version counts the transactions of the store. Version 0 means that a row
	// does not exist.
	Version uint64
	// Clock is a reading of the store's monotonic clock. It is only comparable with
	// other readings of the same store.
	Clock time.Duration
)

// ID identifies a row.
type ID struct {
	Table Table
	Part  Partition
	Key   Key
}

// Row is a row at a specific version.
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

// Put creates or replaces a row.
type Put struct {
	ID
	Value []byte
}

// Transaction is a set of changes that are applied atomically if all conditions
// hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []ID
}

// Range selects the rows of a part from From (inclusive) to To (exclusive). An
// empty bound does not limit the range.
type Range struct {
	Table Table
	Part  Partition
	From  Key
	To    Key
	// OnePage limits the read to one response of the store.
	OnePage bool
}

// Page is the result of a read, as of one point in time.
type Page struct {
	Rows []Row
	// Removed lists the rows removed since the requested version.
	Removed []ID
	Version Version
	Clock   Clock
	// Truncated is true if a read of one page left out further rows of the range.
	Truncated bool
}

// After returns the smallest key that follows a key.
func (k Key) After() Key { return k + "\x00" }

// Outcome is the result of a transaction. The interface is sealed: only types of
// this package implement it.
type Outcome interface{ outcome() }

// Committed reports that the transaction was applied at a version.
type Committed struct{ Version Version }

// Conflict reports that a condition did not hold. It has the current rows of all
// conditions, except those that do not exist.
type Conflict struct{ Rows []Row }

func (Committed) outcome() {}
func (Conflict) outcome()  {}

// Errors of the store.
const (
	// ErrUnavailable means that the store did not apply the call.
	ErrUnavailable = errors.ConstError("the platform's store refused the request; try again later")
	// ErrOutcomeUnknown means that the store did not respond. A transaction may
	// have been applied, or may still be applied as long as its conditions hold.
	ErrOutcomeUnknown = errors.ConstError("the platform's store did not answer; read the rows to learn what happened")
	// ErrOverloaded means that this VM reads too many long responses of the store at once.
	// It says nothing about the store.
	ErrOverloaded = errors.ConstError("this VM reads too many long responses of the platform's store; try again later")
	// ErrCompacted means that the changes since the requested version are no longer
	// available.
	ErrCompacted = errors.ConstError("the platform's store dropped its history; read the table")
)

// Store reads and writes rows. Every call ends within a time limit set by the
// implementation. The cause of each error is one of this package's errors.
type Store interface {
	Commit(ctx context.Context, t Transaction) (Outcome, error)
	// Read returns all rows of a range as of one point in time. Rows that do not
	// fit into one response are read by several calls, each as of its own time.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of a table that changed after a version. It waits up
	// to wait for the first change.
	Changes(ctx context.Context, t Table, after Version, wait time.Duration) (Page, error)
}

// Find returns the row with an ID, false if there is none.
func Find(rows []Row, id ID) (Row, bool) {
	for _, row := range rows {
		if row.ID == id {
			return row, true
		}
	}
	return Row{}, false
}
