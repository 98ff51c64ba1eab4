package crashcounter

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/rowwatcher"
)

// crashRow is the stored form of a crash. Times are in Unix milliseconds of the VM that
// made the call.
type crashRow struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	ByTarget    bool              `json:"by_target"`
	SentAt      int64             `json:"sent_at_ms"`
	CrashedAt   int64             `json:"crashed_at_ms"`
}

func (c *crash) row() crashRow {
	return crashRow{
		Upstream: c.start.upstream, Incarnation: c.start.incarnation, ByTarget: c.byTarget,
		SentAt: c.sentAt.UnixMilli(), CrashedAt: c.crashedAt.UnixMilli(),
	}
}

func (r crashRow) crash(seenAt time.Time) crash {
	return crash{
		start: start{r.Upstream, r.Incarnation}, byTarget: r.ByTarget,
		sentAt: time.UnixMilli(r.SentAt), crashedAt: time.UnixMilli(r.CrashedAt), seenAt: seenAt, stored: true,
	}
}

// toMillisecond returns the time as a row has it.
func toMillisecond(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }

// put returns the row of a crash. It needs no condition: the key names one call at one
// upstream.
func (c *Crashcounter) put(f ident.Fingerprint, key rows.Key) []rows.Put {
	value, err := json.Marshal(c.crashes[f][key].row())
	if err != nil {
		// Unreachable: strings can always be encoded.
		c.reject(errors.Annotatef(err, "encode the crash of a request"))
		return nil
	}
	return []rows.Put{{ID: rowID(key), Value: value}}
}

// writeAgain writes the rows that could not be written.
func (c *Crashcounter) writeAgain() []effect.Effect {
	var t rows.Transaction
	for f, crashes := range c.crashes {
		for key, crash := range crashes {
			if !crash.stored && len(t.Puts) < maxChanges {
				t.Puts = append(t.Puts, c.put(f, key)...)
			}
		}
	}
	if len(t.Puts) == 0 {
		return nil
	}
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// handleRows applies the rows that this and other VMs wrote.
func (c *Crashcounter) handleRows(now time.Time, u rowwatcher.Update) []effect.Effect {
	if u.Complete {
		c.dropMissing(u.Page)
	}
	for _, row := range u.Rows {
		f, _, ok := strings.Cut(string(row.Key), "/")
		var stored crashRow
		if err := json.Unmarshal(row.Value, &stored); err != nil || !ok {
			c.reject(errors.Errorf("row %s of a crash can't be used: %s", row.Key, row.Value))
			continue
		}
		seenAt := now
		if known := c.crashes[ident.Fingerprint(f)][row.Key]; known != nil {
			seenAt = known.seenAt
		}
		c.add(ident.Fingerprint(f), row.Key, stored.crash(seenAt))
	}
	for _, id := range u.Removed {
		c.drop(id.Key)
	}
	return append(c.expire(now), effect.Publish{})
}

// dropMissing forgets the crashes whose rows were removed.
func (c *Crashcounter) dropMissing(page rows.Page) {
	for _, crashes := range c.crashes {
		for key, crash := range crashes {
			if _, present := rows.Find(page.Rows, rowID(key)); crash.stored && !present {
				c.drop(key)
			}
		}
	}
}

func (c *Crashcounter) drop(key rows.Key) {
	f, _, _ := strings.Cut(string(key), "/")
	delete(c.crashes[ident.Fingerprint(f)], key)
	if len(c.crashes[ident.Fingerprint(f)]) == 0 {
		delete(c.crashes, ident.Fingerprint(f))
	}
}

// expire removes the crashes whose retention is over.
func (c *Crashcounter) expire(now time.Time) []effect.Effect {
	var t rows.Transaction
	for _, crashes := range c.crashes {
		for key, crash := range crashes {
			if now.Sub(crash.seenAt) > c.retention && len(t.Removes) < maxChanges {
				t.Removes = append(t.Removes, rowID(key))
				c.drop(key)
			}
		}
	}
	if len(t.Removes) == 0 {
		return nil
	}
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// handleWrite records which rows were written. The others are written again.
func (c *Crashcounter) handleWrite(now time.Time, m message.RowsWritten) []effect.Effect {
	for _, put := range m.Transaction.Puts {
		if put.Table != table {
			return nil
		}
		if m.Err != nil {
			return []effect.Effect{c.writer.Set(now.Add(retryInterval))}
		}
		f, _, _ := strings.Cut(string(put.Key), "/")
		if crash := c.crashes[ident.Fingerprint(f)][put.Key]; crash != nil {
			crash.stored = true
		}
	}
	return nil
}

func rowID(key rows.Key) rows.ID { return rows.ID{Table: table, Key: key} }
