// Package rowwatcher follows the rows of one table of the store on behalf of a
// controller: it reads the table once and then waits for changes. After an error, or
// if changes were lost, it reads the table again.
package rowwatcher

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

const (
	// watchTimeout bounds one watch for changes. A VM whose watch hangs on a silent
	// connection learns of changes of others this much later.
	watchTimeout = 10 * time.Second
	// retryInterval is the delay of the next read after an error.
	retryInterval = time.Second
)

// Rowwatcher follows the rows of a table.
type Rowwatcher struct {
	table rows.Table
	// reader schedules the next read. None is scheduled while a request to the store
	// is pending.
	reader pacer.Reader
}

// Update is a response of the store.
type Update struct {
	rows.Page
	// Complete is true if the page has all rows of the table, and false if it has
	// those that changed.
	Complete bool
}

// New returns a watcher of a table.
func New(table rows.Table) *Rowwatcher {
	return &Rowwatcher{table: table, reader: pacer.NewReader(table)}
}

// Handle processes a message and returns the resulting effects. The update is nil
// unless the message has rows of the table.
func (w *Rowwatcher) Handle(now time.Time, m message.Message) (*Update, []effect.Effect) {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return nil, w.reader.Handle(now, m)
	case message.RowsRead:
		if w.reader.IsAnswer(m) {
			return w.handle(now, Update{Page: m.Page, Complete: true}, m.Err)
		}
	case message.RowsChanged:
		if m.Table == w.table {
			return w.handle(now, Update{Page: m.Page}, m.Err)
		}
	}
	return nil, nil
}

func (w *Rowwatcher) handle(now time.Time, u Update, err error) (*Update, []effect.Effect) {
	if err != nil {
		return nil, []effect.Effect{w.reader.Set(now.Add(retryInterval))}
	}
	return &u, []effect.Effect{effect.WatchRows{Table: w.table, After: u.Version, Wait: watchTimeout}}
}
