package bookkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

const (
	// programsTable has the batches of a tree in the part of its root.
	programsTable rows.Table = "programs"
	// textChunk bounds the text in one row in bytes. Rows hold 64 KiB, in which
	// base64 leaves 48 KiB.
	textChunk = 40 << 10
	// batchLimit bounds the text of one batch in bytes. A transaction holds
	// 1 MiB, in which base64 leaves 768 KiB.
	batchLimit = 700 << 10
)

// batchRow is the first row of a batch.
type batchRow struct {
	// Write is the id of the write, by which the writer recognizes its batch if
	// the answer was lost.
	Write string `json:"write"`
	// At is the writer's time in milliseconds since 1970.
	At int64 `json:"at"`
	// Records is empty if the text is in further rows.
	Records json.RawMessage `json:"records,omitempty"`
	// Chunks is the number of further rows.
	Chunks int `json:"chunks,omitempty"`
}

// batch is what one transaction recorded.
type batch struct {
	write   string
	at      time.Time
	records []record.Record
	// version is that of the first row.
	version rows.Version
}

func batchID(root ident.ProgramID, n ident.Sequence) rows.ID {
	return rows.ID{Table: programsTable, Part: rows.Part(root), Key: batchKey(n)}
}

func batchKey(n ident.Sequence) rows.Key { return rows.Key(fmt.Sprintf("%010d", n)) }

// encode returns the rows of a batch.
func (b batch) encode(root ident.ProgramID, n ident.Sequence) ([]rows.Put, error) {
	text, err := encoder.Records(b.records)
	if err != nil {
		return nil, failure.New(failure.InvalidRequest, "the request can't be recorded: %v", errors.Cause(err))
	}
	if len(text) > batchLimit {
		return nil, failure.New(failure.TooLarge, "the request takes %d bytes on record and at most %d fit; send less at once", len(text), batchLimit)
	}
	row := batchRow{Write: b.write, At: b.at.UnixMilli()}
	id := batchID(root, n)
	var puts []rows.Put
	if len(text) <= textChunk {
		row.Records = text
	} else {
		for chunk := range slices.Chunk(text, textChunk) {
			further := id
			further.Key += rows.Key(fmt.Sprintf("/%04d", row.Chunks))
			puts = append(puts, rows.Put{ID: further, Value: chunk})
			row.Chunks++
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, errors.Annotate(err, "encode a batch")
	}
	return append([]rows.Put{{ID: id, Value: value}}, puts...), nil
}

// readBatches returns the batches of a tree from one on.
func readBatches(ctx context.Context, store rows.Store, root ident.ProgramID, from ident.Sequence) ([]batch, error) {
	page, err := store.Read(ctx, rows.Range{Table: programsTable, Part: rows.Part(root), From: batchKey(from)})
	if err != nil {
		return nil, err
	}
	var batches []batch
	for left := page.Rows; len(left) > 0; {
		var row batchRow
		if err := json.Unmarshal(left[0].Value, &row); err != nil {
			return nil, errors.Annotatef(err, "batch %s of %s", left[0].Key, root)
		}
		if left[0].Key != batchKey(from) || len(left) <= row.Chunks {
			return nil, errors.NotValidf("batch %s of %s, where %s and its %d rows are expected", left[0].Key, root, batchKey(from), row.Chunks)
		}
		text := []byte(row.Records)
		for _, chunk := range left[1 : row.Chunks+1] {
			text = append(text, chunk.Value...)
		}
		records, err := encoder.ReadRecords(text)
		if err != nil {
			return nil, errors.Annotatef(err, "batch %s of %s", left[0].Key, root)
		}
		batches = append(batches, batch{write: row.Write, at: time.UnixMilli(row.At), records: records, version: left[0].Version})
		left = left[row.Chunks+1:]
		from++
	}
	return batches, nil
}

const (
	// intentsTable has a row for each intended call that has no outcome.
	intentsTable rows.Table = "intents"
	// intentParts is the number of parts of the table. Rows of one part are
	// written one after the other, and each of them takes some milliseconds.
	intentParts = 8
)

// Intent is a call that must not be repeated and has no outcome yet.
type Intent struct {
	record.AttemptID
	Team     ident.TeamID
	Upstream ident.UpstreamID
	Pool     ident.PoolID
	Holder   record.Holder
	// Doubted is true if its attempt has ended without an answer.
	Doubted bool
}

func intentID(id ident.ProgramID, call ident.CallID) rows.ID {
	part := xxhash.Sum64String(string(id.Root())) % intentParts
	return rows.ID{Table: intentsTable, Part: rows.Part(fmt.Sprint(part)), Key: rows.Key(string(id) + "/" + string(call))}
}

// indexIntents returns the changes of the table of intents that go with a change
// of a tree.
func indexIntents(before, after program.Tree, records []record.Record) (puts []rows.Put, removes []rows.ID, err error) {
	seen := map[rows.ID]bool{}
	for _, r := range records {
		call, ok := callOf(r)
		if !ok || seen[intentID(r.Subject(), call)] {
			continue
		}
		id := intentID(r.Subject(), call)
		seen[id] = true
		was, is := pending(before, r.Subject(), call), pending(after, r.Subject(), call)
		switch {
		case is != nil && (was == nil || *was != *is):
			value, err := json.Marshal(is)
			if err != nil {
				return nil, nil, errors.Annotate(err, "encode an intent")
			}
			puts = append(puts, rows.Put{ID: id, Value: value})
		case is == nil && was != nil:
			removes = append(removes, id)
		}
	}
	return puts, removes, nil
}

// callOf returns the call that a record is about.
func callOf(r record.Record) (ident.CallID, bool) {
	switch r := r.(type) {
	case record.Intended:
		return r.Call, true
	case record.Cancelled:
		return r.Call, true
	case record.Failed:
		return r.Call, true
	case record.Doubted:
		return r.Call, true
	case record.Completed:
		return r.Call, true
	case record.Resolved:
		return r.Call, true
	}
	return "", false
}

// pending returns the intent of a call, nil if it has none.
func pending(t program.Tree, id ident.ProgramID, callID ident.CallID) *Intent {
	state, ok := t[id]
	if !ok {
		return nil
	}
	call := state.Calls[callID]
	if call.Status != program.Intended && call.Status != program.Unknown {
		return nil
	}
	return &Intent{
		AttemptID: record.AttemptID{Program: id, Call: callID, Attempt: call.Attempt},
		Team:      state.Team, Upstream: call.Upstream, Pool: call.Request.Pool, Holder: call.Holder,
		Doubted: call.Status == program.Unknown,
	}
}

// IntentRanges are the ranges of the store that hold intents.
func IntentRanges() []rows.Range {
	var ranges []rows.Range
	for part := range intentParts {
		ranges = append(ranges, rows.Range{Table: intentsTable, Part: rows.Part(fmt.Sprint(part))})
	}
	return ranges
}

// ReadIntent decodes a row of IntentRanges.
func ReadIntent(row rows.Row) (Intent, error) {
	var i Intent
	err := json.Unmarshal(row.Value, &i)
	return i, errors.Annotatef(err, "intent %s", row.Key)
}

// Stored returns the rows of a tree.
func Stored(ctx context.Context, store rows.Store, root ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: programsTable, Part: rows.Part(root)})
	if err != nil {
		return nil, err
	}
	ids := make([]rows.ID, 0, len(page.Rows))
	for _, row := range page.Rows {
		ids = append(ids, row.ID)
	}
	return ids, nil
}

// LastUse returns when something of a tree was recorded last, the zero time if
// there is no such tree. A tree whose root has not ended, and whose time is not
// over, is in use now.
func LastUse(ctx context.Context, store rows.Store, root ident.ProgramID, now time.Time) (time.Time, error) {
	batches, err := readBatches(ctx, store, root, 1)
	if err != nil || len(batches) == 0 {
		return time.Time{}, err
	}
	t := program.Tree{}
	for _, b := range batches {
		for _, r := range b.records {
			t.Apply(r)
		}
	}
	last := batches[len(batches)-1].at
	state, ok := t[root]
	if !ok || state.Ended {
		return last, nil
	}
	if expires := state.Budget.Expires; !expires.IsZero() && expires.Before(now) {
		return expires, nil
	}
	return now, nil
}
