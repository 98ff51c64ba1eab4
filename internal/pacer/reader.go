package pacer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Reader reads a table of the store at the start and whenever its pacer is due.
// A controller sets the pacer when it has the answer.
type Reader struct {
	Pacer
	table rows.Table
}

// NewReader returns the reader of a table.
func NewReader(table rows.Table) Reader { return Reader{table: table} }

// Handle starts the reads that are due.
func (r *Reader) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m.(type) {
	case message.Started:
		return r.read()
	case message.Tick:
		due, effects := r.Tick(now)
		if due {
			return r.read()
		}
		return effects
	}
	return nil
}

// Answers reports whether an answer of the store is to a read of this table.
func (r *Reader) Answers(m message.RowsRead) bool { return m.Range.Table == r.table }

func (r *Reader) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: r.table}}}
}
