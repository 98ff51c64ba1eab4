package committer

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
	// programsTable holds the batches of each tree, in the part named by its root.
	programsTable rows.Table = "programs"
	// chunkBytes bounds the encoded records in one row. A row holds 64 KiB, which
	// is 48 KiB before base64 encoding.
	chunkBytes = 40 << 10
	// maxBatchBytes bounds the encoded records of one batch. A transaction holds
	// 1 MiB, which is 768 KiB before base64 encoding.
	maxBatchBytes = 700 << 10
)

// batchRow is the first row of a batch.
type batchRow struct {
	// WriteID identifies the write. The writer recognizes its batch by it if the
	// store's answer was lost.
	WriteID string `json:"write"`
	// WrittenAtMS is the writer's clock in milliseconds since the Unix epoch.
	WrittenAtMS int64 `json:"at"`
	// Records is empty if the encoded records are in chunk rows.
	Records json.RawMessage `json:"records,omitempty"`
	// Chunks is the number of chunk rows that follow.
	Chunks int `json:"chunks,omitempty"`
}

// batch is the sequence of records that one transaction wrote.
type batch struct {
	writeID   string
	writtenAt time.Time
	records   []record.Record
	// version is the version of the first row.
	version rows.Version
}

func batchID(root ident.ProgramID, n ident.Sequence) rows.ID {
	return rows.ID{Table: programsTable, Part: rows.Partition(root), Key: batchKey(n)}
}

func batchKey(n ident.Sequence) rows.Key { return rows.Key(fmt.Sprintf("%010d", n)) }

// encode returns the rows of a batch.
func (b batch) encode(root ident.ProgramID, n ident.Sequence) ([]rows.Put, error) {
	text, err := encoder.EncodeRecords(b.records)
	if err != nil {
		return nil, failure.New(failure.InvalidRequest, "the request can't be recorded: %v", errors.Cause(err))
	}
	if len(text) > maxBatchBytes {
		return nil, failure.New(failure.TooLarge, "the request takes %d bytes in the store and the limit is %d bytes; send a smaller request", len(text), maxBatchBytes)
	}
	row := batchRow{WriteID: b.writeID, WrittenAtMS: b.writtenAt.UnixMilli()}
	id := batchID(root, n)
	var puts []rows.Put
	if len(text) <= chunkBytes {
		row.Records = text
	} else {
		for chunk := range slices.Chunk(text, chunkBytes) {
			chunkID := id
			chunkID.Key += rows.Key(fmt.Sprintf("/%04d", row.Chunks))
			puts = append(puts, rows.Put{ID: chunkID, Value: chunk})
			row.Chunks++
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, errors.Annotate(err, "encode a batch")
	}
	return append([]rows.Put{{ID: id, Value: value}}, puts...), nil
}

// readBatches returns the batches of a tree, starting at the number from.
func readBatches(ctx context.Context, store rows.Store, root ident.ProgramID, from ident.Sequence) ([]batch, error) {
	page, err := store.Read(ctx, rows.Range{Table: programsTable, Part: rows.Partition(root), From: batchKey(from)})
	if err != nil {
		return nil, err
	}
	var batches []batch
	for remaining := page.Rows; len(remaining) > 0; {
		var row batchRow
		if err := json.Unmarshal(remaining[0].Value, &row); err != nil {
			return nil, errors.Annotatef(err, "batch %s of program %s", remaining[0].Key, root)
		}
		if remaining[0].Key != batchKey(from) || len(remaining) <= row.Chunks {
			return nil, errors.NotValidf("batch %s of program %s (want batch %s with %d chunk rows)", remaining[0].Key, root, batchKey(from), row.Chunks)
		}
		text := []byte(row.Records)
		for _, chunk := range remaining[1 : row.Chunks+1] {
			text = append(text, chunk.Value...)
		}
		records, err := encoder.DecodeRecords(text)
		if err != nil {
			return nil, errors.Annotatef(err, "batch %s of program %s", remaining[0].Key, root)
		}
		batches = append(batches, batch{writeID: row.WriteID, writtenAt: time.UnixMilli(row.WrittenAtMS), records: records, version: remaining[0].Version})
		remaining = remaining[row.Chunks+1:]
		from++
	}
	return batches, nil
}

const (
	// intentsTable has a row for each call that has an intent and no recorded
	// outcome.
	intentsTable rows.Table = "intents"
	// intentParts is the number of parts of the table. The store applies the
	// transactions of one part serially, and each takes some milliseconds.
	intentParts = 8
)

// Intent identifies an attempt of a call that must not be repeated, was possibly
// dispatched, and has no recorded outcome.
type Intent struct {
	record.AttemptID
	Team     ident.TeamID
	Upstream ident.UpstreamID
	Pool     ident.PoolID
	Holder   record.Holder
	// Doubted is true if the attempt has ended without an answer.
	Doubted bool
}

func intentID(id ident.ProgramID, call ident.CallID) rows.ID {
	part := xxhash.Sum64String(string(id.Root())) % intentParts
	return rows.ID{Table: intentsTable, Part: rows.Partition(fmt.Sprint(part)), Key: rows.Key(string(id) + "/" + string(call))}
}

// intentChanges returns the changes of the intents table that must be committed
// with a change of a tree.
func intentChanges(before, after program.Tree, records []record.Record) (puts []rows.Put, removes []rows.ID, err error) {
	seen := map[rows.ID]bool{}
	for _, r := range records {
		call, ok := callOf(r)
		if !ok || seen[intentID(r.Subject(), call)] {
			continue
		}
		id := intentID(r.Subject(), call)
		seen[id] = true
		oldIntent, newIntent := pendingIntent(before, r.Subject(), call), pendingIntent(after, r.Subject(), call)
		switch {
		case newIntent != nil && (oldIntent == nil || *oldIntent != *newIntent):
			value, err := json.Marshal(newIntent)
			if err != nil {
				return nil, nil, errors.Annotate(err, "encode an intent")
			}
			puts = append(puts, rows.Put{ID: id, Value: value})
		case newIntent == nil && oldIntent != nil:
			removes = append(removes, id)
		}
	}
	return puts, removes, nil
}

// callOf returns the call of a record that may change the intent of the call.
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

// pendingIntent returns the intent of a call, or nil if it has none.
func pendingIntent(t program.Tree, id ident.ProgramID, callID ident.CallID) *Intent {
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

// IntentRanges returns the ranges of the store that hold intents.
func IntentRanges() []rows.Range {
	var ranges []rows.Range
	for part := range intentParts {
		ranges = append(ranges, rows.Range{Table: intentsTable, Part: rows.Partition(fmt.Sprint(part))})
	}
	return ranges
}

// ReadIntent decodes a row of one of the IntentRanges.
func ReadIntent(row rows.Row) (Intent, error) {
	var i Intent
	err := json.Unmarshal(row.Value, &i)
	return i, errors.Annotatef(err, "intent %s", row.Key)
}

// RowIDs returns the IDs of the rows of a tree.
func RowIDs(ctx context.Context, store rows.Store, root ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: programsTable, Part: rows.Partition(root)})
	if err != nil {
		return nil, err
	}
	ids := make([]rows.ID, 0, len(page.Rows))
	for _, row := range page.Rows {
		ids = append(ids, row.ID)
	}
	return ids, nil
}

// LastUse returns the time of the last use of a tree, or the zero time if the
// tree does not exist. A tree whose root has ended was last used when its last
// batch was written, and one whose budget has expired at its expiry. Any other
// tree is in use now.
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
	last := batches[len(batches)-1].writtenAt
	state, ok := t[root]
	if !ok || state.Ended {
		return last, nil
	}
	if expires := state.Budget.Expires; !expires.IsZero() && expires.Before(now) {
		return expires, nil
	}
	return now, nil
}
