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

// eventRow is the stored form of an event. Times are in Unix milliseconds of the VM that
// made the call, with the microseconds beyond them.
type eventRow struct {
	Trial       bool              `json:"trial,omitempty"`
	Upstream    ident.UpstreamID  `json:"upstream,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	ByTarget    bool              `json:"by_target"`
	SentAt      int64             `json:"sent_at_ms,omitempty"`
	SentMicros  int64             `json:"sent_at_us,omitempty"`
	CrashedAt   int64             `json:"crashed_at_ms,omitempty"`
	// CrashedMicros is missing in rows of VMs that store milliseconds only.
	CrashedMicros int64 `json:"crashed_at_us,omitempty"`
}

// encode returns the row of an event.
func encode(key rows.Key, e event) (rows.Put, error) {
	var row eventRow
	switch e := e.(type) {
	case crash:
		row = eventRow{
			Upstream: e.start.upstream, Incarnation: e.start.incarnation, ByTarget: e.byTarget,
			SentAt: e.sentAt.UnixMilli(), SentMicros: e.sentAt.UnixMicro() % 1000,
			CrashedAt: e.crashedAt.UnixMilli(), CrashedMicros: e.crashedAt.UnixMicro() % 1000,
		}
	case trial:
		row.Trial = true
	}
	value, err := json.Marshal(row)
	return rows.Put{ID: rowID(key), Value: value}, errors.Annotatef(err, "encode row %s", key)
}

func decode(row rows.Row) (event, error) {
	var stored eventRow
	if err := json.Unmarshal(row.Value, &stored); err != nil || !strings.Contains(string(row.Key), "/") {
		return nil, errors.Errorf("row %s of a crash can't be used: %s", row.Key, row.Value)
	}
	if stored.Trial {
		return trial{}, nil
	}
	return crash{
		start: start{stored.Upstream, stored.Incarnation}, byTarget: stored.ByTarget,
		sentAt:    time.UnixMilli(stored.SentAt).Add(time.Duration(stored.SentMicros) * time.Microsecond),
		crashedAt: time.UnixMilli(stored.CrashedAt).Add(time.Duration(stored.CrashedMicros) * time.Microsecond),
	}, nil
}

// fingerprintOf returns the fingerprint in the key of a row.
func fingerprintOf(key rows.Key) ident.Fingerprint {
	f, _, _ := strings.Cut(string(key), "/")
	return ident.Fingerprint(f)
}

// toMicrosecond returns the time as a row has it. A request is sent to its next upstream
// within a millisecond of a crash.
func toMicrosecond(t time.Time) time.Time { return time.UnixMicro(t.UnixMicro()) }

// put returns the row of an event. It needs no condition: the key of a crash names one
// call at one upstream.
func (c *Crashcounter) put(f ident.Fingerprint, key rows.Key) []rows.Put {
	put, err := encode(key, c.entries[f][key].event)
	if err != nil {
		// Unreachable: strings and numbers can always be encoded.
		c.reject(err)
		return nil
	}
	return []rows.Put{put}
}

// writeAgain writes the rows that could not be written.
func (c *Crashcounter) writeAgain() []effect.Effect {
	var t rows.Transaction
	for f, entries := range c.entries {
		for key, e := range entries {
			if !e.stored && len(t.Puts) < maxChanges {
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
		event, err := decode(row)
		if err != nil {
			c.reject(err)
			continue
		}
		f, seenAt := fingerprintOf(row.Key), now
		if known := c.entries[f][row.Key]; known != nil {
			seenAt = known.seenAt
		}
		c.add(f, row.Key, entry{event: event, seenAt: seenAt, stored: true})
	}
	for _, id := range u.Removed {
		c.drop(id.Key)
	}
	return append(c.expire(now), effect.Publish{})
}

// dropMissing forgets the events whose rows were removed.
func (c *Crashcounter) dropMissing(page rows.Page) {
	for _, entries := range c.entries {
		for key, e := range entries {
			if _, present := rows.Find(page.Rows, rowID(key)); e.stored && !present {
				c.drop(key)
			}
		}
	}
}

func (c *Crashcounter) drop(key rows.Key) {
	f := fingerprintOf(key)
	delete(c.entries[f], key)
	if len(c.entries[f]) == 0 {
		delete(c.entries, f)
	}
}

// expire removes the events whose retention is over.
func (c *Crashcounter) expire(now time.Time) []effect.Effect {
	var t rows.Transaction
	for _, entries := range c.entries {
		for key, e := range entries {
			if now.Sub(e.seenAt) > c.retention && len(t.Removes) < maxChanges {
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
		if _, isTrial := c.pendingTrials[put.Key]; isTrial {
			return c.handleTrialWrite(now, put.Key, m)
		}
		if m.Err != nil {
			return []effect.Effect{c.writer.Set(now.Add(retryInterval))}
		}
		if e := c.entries[fingerprintOf(put.Key)][put.Key]; e != nil {
			e.stored = true
		}
	}
	return nil
}

func rowID(key rows.Key) rows.ID { return rows.ID{Table: table, Key: key} }
