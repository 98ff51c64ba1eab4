package committer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
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
	// maxChunks bounds the chunk rows of one transaction. The store accepts 1 MB, of which
	// their base64 encoding takes 0.87 MB.
	maxChunks = 16
	// maxBatchBytes bounds the encoded records of one batch: an answer has 4 MiB, and JSON
	// escapes a byte by up to six.
	maxBatchBytes = 25 << 20
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
	// Chunks is the number of chunk rows. They have the ID of the write in their keys if
	// Split is true: several transactions wrote them, and others may have begun to write
	// the same batch.
	Chunks int  `json:"chunks,omitempty"`
	Split  bool `json:"split,omitempty"`
}

// chunkKey returns the key of a chunk row of the batch with a key.
func (r batchRow) chunkKey(key rows.Key, chunk int) rows.Key {
	if r.Split {
		return rows.Key(fmt.Sprintf("%s/%s/%04d", key, r.WriteID, chunk))
	}
	return rows.Key(fmt.Sprintf("%s/%04d", key, chunk))
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

// encode returns the rows of a batch in the order in which they have to be written: the
// first ones by transactions of their own, of maxChunks each, and last, by which the batch
// exists, with the transaction that appends it.
func (b batch) encode(root ident.ProgramID, n ident.Sequence) (first, last []rows.Put, err error) {
	text, err := encoder.EncodeRecords(b.records)
	if err != nil {
		return nil, nil, failure.New(failure.InvalidRequest, "the request can't be recorded: %v", errors.Cause(err))
	}
	if len(text) > maxBatchBytes {
		return nil, nil, failure.New(failure.TooLarge, "the request takes %d bytes in the store and the limit is %d bytes; send a smaller request", len(text), maxBatchBytes)
	}
	row := batchRow{WriteID: b.writeID, WrittenAtMS: b.writtenAt.UnixMilli()}
	id := batchID(root, n)
	var chunks []rows.Put
	if len(text) <= chunkBytes {
		row.Records = text
	} else {
		row.Chunks = (len(text) + chunkBytes - 1) / chunkBytes
		row.Split = row.Chunks > maxChunks
		for chunk := range slices.Chunk(text, chunkBytes) {
			chunkID := id
			chunkID.Key = row.chunkKey(id.Key, len(chunks))
			chunks = append(chunks, rows.Put{ID: chunkID, Value: chunk})
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, nil, errors.Annotate(err, "encode a batch")
	}
	inFirst := max(0, len(chunks)-1) / maxChunks * maxChunks
	return chunks[:inFirst], append([]rows.Put{{ID: id, Value: value}}, chunks[inFirst:]...), nil
}

// readBatches returns the batches of a tree, starting at the number from.
func readBatches(ctx context.Context, store rows.Store, root ident.ProgramID, from ident.Sequence) ([]batch, error) {
	page, err := store.Read(ctx, rows.Range{Table: programsTable, Part: rows.Partition(root), From: batchKey(from)})
	if err != nil {
		return nil, err
	}
	byKey := make(map[rows.Key]rows.Row, len(page.Rows))
	appended := 0
	for _, row := range page.Rows {
		byKey[row.Key] = row
		// Chunks of a batch that was not appended are left out.
		if !strings.Contains(string(row.Key), "/") {
			appended++
		}
	}
	var batches []batch
	for ; len(batches) < appended; from++ {
		first, ok := byKey[batchKey(from)]
		if !ok {
			return nil, errors.NotValidf("batch %s of program %s, which is missing,", batchKey(from), root)
		}
		b, err := decodeBatch(first, byKey)
		if err != nil {
			return nil, errors.Annotatef(err, "batch %s of program %s", first.Key, root)
		}
		batches = append(batches, b)
	}
	return batches, nil
}

// decodeBatch returns the batch of a row and its chunks.
func decodeBatch(first rows.Row, byKey map[rows.Key]rows.Row) (batch, error) {
	var row batchRow
	if err := json.Unmarshal(first.Value, &row); err != nil {
		return batch{}, err
	}
	text := []byte(row.Records)
	for chunk := range row.Chunks {
		stored, ok := byKey[row.chunkKey(first.Key, chunk)]
		if !ok {
			return batch{}, errors.NotValidf("batch without chunk %d of %d", chunk, row.Chunks)
		}
		text = append(text, stored.Value...)
	}
	records, err := encoder.DecodeRecords(text)
	if err != nil {
		return batch{}, err
	}
	return batch{writeID: row.WriteID, writtenAt: time.UnixMilli(row.WrittenAtMS), records: records, version: first.Version}, nil
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
