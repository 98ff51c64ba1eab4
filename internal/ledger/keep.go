package ledger

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Keep stores a turn that was answered whole, with its input and output. Once
// it returns nil, every VM can continue the turn. After an error the turn may
// or may not be stored.
func (l *Ledger) Keep(ctx context.Context, r *Reservation, input, output []byte, used unit.Tokens) error {
	ctx, cancel := context.WithTimeout(ctx, l.keepLimit)
	defer cancel()
	transaction, err := r.keeping(input, output, used)
	if err != nil {
		return err
	}
	own := transaction.Conditions[0].ID
	for {
		outcome, err := l.store.Commit(ctx, transaction)
		if err == nil {
			return kept(outcome, own)
		}
		if !l.pause(ctx, err) {
			return errors.Annotatef(err, "turn %s was not stored", r.Turn.Turn)
		}
	}
}

// kept finds out whether the turn's row is complete, which it is after a lost
// answer.
func kept(outcome rows.Outcome, own rows.ID) error {
	conflict, ok := outcome.(rows.Conflict)
	if !ok {
		return nil
	}
	row, ok := rows.Find(conflict.Rows, own)
	if !ok {
		return errors.Errorf("row %s of program %s is gone", own.Key, own.Part)
	}
	var turn turnRow
	if err := decode(row, &turn); err != nil {
		return err
	}
	if !turn.Complete {
		return errors.Errorf("row %s of program %s was changed by another", own.Key, own.Part)
	}
	return nil
}

// keeping is the transaction that stores a turn and its place in the index.
func (r *Reservation) keeping(input, output []byte, used unit.Tokens) (rows.Transaction, error) {
	t := r.Turn
	row := r.row()
	row.Used, row.Settled, row.Complete = used, true, true
	text := append(append(make([]byte, 0, len(input)+len(output)), input...), output...)
	var puts []rows.Put
	for len(text) > 0 {
		size := min(len(text), textChunk)
		puts = append(puts, rows.Put{ID: textID(t.Program, t.Turn, row.Chunks), Value: text[:size]})
		text = text[size:]
		row.Chunks++
	}
	turn, err := put(turnID(t.Program, t.Turn), row)
	if err != nil {
		return rows.Transaction{}, err
	}
	puts = append(puts, turn, rows.Put{ID: indexID(t.Turn), Value: []byte(t.Program)})
	return rows.Transaction{Conditions: []rows.Condition{{ID: turn.ID, Version: r.version}}, Puts: puts}, nil
}
