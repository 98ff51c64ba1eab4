package pacer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Reader reads a table of the store at the start and whenever its pacer is due.
// The controller sets the pacer when it has received the answer.
type Reader struct {
	Pacer
	table rows.Table
}

// NewReader returns a reader of the given table.
func NewReader(table rows.Table) Reader { return Reader{table: table} }

// Handle starts a read if the message makes one due.
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

// IsAnswer reports whether a result of the store is that of a read of this table.
func (r *Reader) IsAnswer(m message.RowsRead) bool { return m.Range.Table == r.table }

func (r *Reader) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: r.table}}}
}
