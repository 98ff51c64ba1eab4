package ledger

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Recording is a turn that runs and is stored when it has completed. It is not safe for
// concurrent use.
type Recording struct {
	ledger *Ledger
	turn   Turn
	input  []byte
	// write is the ID of the write.
	write string
	// stored is the number of chunks that are stored. It belongs to the goroutine of the
	// recording until ahead is closed.
	stored int
	ahead  chan struct{}
}

// Record returns the recording of a turn that has begun to run. If its input exceeds one
// transaction, all but the last one are written at once, so that storing the completed
// turn takes no longer than for a short one. Their rows are removed with those of the
// program if the turn is not stored. The context is that of the request.
func (l *Ledger) Record(ctx context.Context, t Turn, input []byte) *Recording {
	r := &Recording{ledger: l, turn: t.named(), input: input, write: uuid.NewString(), ahead: make(chan struct{})}
	chunks := slices.Collect(slices.Chunk(input, maxChunkBytes))
	if len(chunks) <= maxChunks {
		close(r.ahead)
		return r
	}
	go func() {
		defer close(r.ahead)
		// An error means that the request has ended.
		_ = r.storeChunks(ctx, chunks)
	}()
	return r
}

// Store stores a completed turn.
func (l *Ledger) Store(ctx context.Context, t Turn, input, output []byte) error {
	return l.Record(ctx, t, input).Store(ctx, output)
}

// Store stores the completed turn. Once it returns nil, every VM can continue the
// turn. After an error the turn may or may not be stored.
func (r *Recording) Store(ctx context.Context, output []byte) error {
	ctx, cancel := context.WithTimeout(ctx, r.ledger.storeTimeout)
	defer cancel()
	select {
	case <-r.ahead:
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "store the input of turn %s", r.turn.Turn)
	}
	chunks := chunksOf(r.input, output)
	if err := r.storeChunks(ctx, chunks); err != nil {
		return err
	}
	outcome, err := r.commit(ctx, func(attempt int) (rows.Transaction, error) {
		return r.lastTransaction(chunks, len(r.input)+len(output), attempt%indexParts)
	})
	if err != nil {
		return err
	}
	if err := checkOwnRow(outcome, turnID(r.turn.Program, r.turn.Turn), r.write); err != nil {
		return err
	}
	r.ledger.cache.add(r.turn, r.input, output)
	return nil
}

// chunksOf returns the text of a turn in pieces that fit into a row.
func chunksOf(input, output []byte) [][]byte {
	if size := len(input) + len(output); 0 < size && size <= maxChunkBytes {
		return [][]byte{slices.Concat(input, output)}
	}
	return append(slices.Collect(slices.Chunk(input, maxChunkBytes)), slices.Collect(slices.Chunk(output, maxChunkBytes))...)
}

// storeChunks stores chunks until those that remain fit into one transaction.
func (r *Recording) storeChunks(ctx context.Context, chunks [][]byte) error {
	for len(chunks)-r.stored > maxChunks {
		next := r.stored + maxChunks
		t := rows.Transaction{Puts: r.chunkPuts(chunks[:next], true)}
		if _, err := r.commit(ctx, func(int) (rows.Transaction, error) { return t, nil }); err != nil {
			return err
		}
		r.stored = next
	}
	return nil
}

// chunkPuts returns the rows of the chunks that are not stored.
func (r *Recording) chunkPuts(chunks [][]byte, split bool) []rows.Put {
	write := ""
	if split {
		write = r.write
	}
	var puts []rows.Put
	for i := r.stored; i < len(chunks); i++ {
		puts = append(puts, rows.Put{ID: textID(r.turn.Program, r.turn.Turn, write, i), Value: chunks[i]})
	}
	return puts
}

// lastTransaction returns the transaction that stores the remaining chunks, the turn, and
// its row in the given part of the index.
func (r *Recording) lastTransaction(chunks [][]byte, size, index int) (rows.Transaction, error) {
	row := turnRow{
		Previous: r.turn.Previous, Account: r.turn.Account, Chunks: len(chunks), Bytes: size, Split: len(chunks) > maxChunks,
		Index: index, Write: r.write,
	}
	encoded, err := json.Marshal(row)
	if err != nil {
		return rows.Transaction{}, errors.Annotatef(err, "encode turn %s", r.turn.Turn)
	}
	own := turnID(r.turn.Program, r.turn.Turn)
	puts := append(r.chunkPuts(chunks, row.Split),
		rows.Put{ID: own, Value: encoded}, rows.Put{ID: indexID(r.turn.Turn, index), Value: []byte(r.turn.Program)})
	return rows.Transaction{Conditions: []rows.Condition{{ID: own}}, Puts: puts}, nil
}

// commit commits a transaction, which may differ between attempts, until the context ends.
func (r *Recording) commit(ctx context.Context, transaction func(attempt int) (rows.Transaction, error)) (rows.Outcome, error) {
	retries := backoff.New(r.ledger.timers)
	for attempt := 0; ; attempt++ {
		t, err := transaction(attempt)
		if err != nil {
			return nil, err
		}
		outcome, err := r.ledger.store.Commit(ctx, t)
		r.ledger.recordReachability(ctx, err)
		if err == nil {
			return outcome, nil
		}
		if !retries.Wait(ctx) {
			return nil, errors.Annotatef(err, "store turn %s", r.turn.Turn)
		}
	}
}

// checkOwnRow returns an error if a conflict shows that the turn's row has another
// write ID. The row has the same ID if the response to an earlier attempt was lost.
func checkOwnRow(outcome rows.Outcome, own rows.ID, write string) error {
	conflict, ok := outcome.(rows.Conflict)
	if !ok {
		return nil
	}
	row, ok := rows.Find(conflict.Rows, own)
	if !ok {
		return errors.Errorf("row %s of program %s was removed", own.Key, own.Part)
	}
	var turn turnRow
	if err := decode(row, &turn); err != nil {
		return err
	}
	if turn.Write != write {
		return errors.Errorf("row %s of program %s was written by another request", own.Key, own.Part)
	}
	return nil
}
