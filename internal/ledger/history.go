package ledger

import (
	"context"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// link is a turn of a history, and the program that it belongs to.
type link struct {
	program *programTurns
	turn    ident.RequestID
}

func (k link) row() turnRow { return k.program.turns[k.turn] }

// tryHistory reads the history of a turn. The texts of long programs are read once their
// memory is claimed.
func (l *Ledger) tryHistory(ctx context.Context, t Turn, claim Claim) ([]byte, error) {
	chain, err := l.readChain(ctx, t)
	if err != nil {
		return nil, err
	}
	var size unit.Bytes
	for _, k := range chain {
		size += k.row().textBytes()
	}
	if claim != nil {
		if err := claim(size); err != nil {
			return nil, err
		}
	}
	if err := l.readTexts(ctx, chain); err != nil {
		return nil, err
	}
	var texts [][]byte
	for _, k := range chain {
		text, err := k.program.text(k.turn)
		if err != nil {
			return nil, err
		}
		l.cache.add(Turn{Turn: k.turn, Previous: k.row().Previous, Account: k.row().Account}, text, nil)
		texts = append(texts, text)
	}
	slices.Reverse(texts)
	return slices.Concat(texts...), nil
}

// readChain follows the turns before a turn to the first one, and returns the newest first.
// Callers choose the IDs of turns, so that turns of different programs may follow each
// other in a circle.
func (l *Ledger) readChain(ctx context.Context, t Turn) ([]link, error) {
	program, err := l.read(ctx, t.Program)
	if err != nil {
		return nil, err
	}
	var chain []link
	followed := map[rows.ID]bool{}
	for previous := t.Previous; previous != ""; {
		turn, ok := program.turns[previous]
		if !ok {
			if program, err = l.readOwner(ctx, previous); err != nil {
				return nil, err
			}
			turn = program.turns[previous]
		}
		if !t.mayContinue(turn.Account) {
			return nil, notFound(t.Previous)
		}
		id := turnID(program.program, previous)
		if followed[id] {
			return nil, failure.Refusal(failure.InvalidRequest, 0, "turn %s follows itself; start a new session with other ids", previous)
		}
		followed[id] = true
		chain = append(chain, link{program, previous})
		previous = turn.Previous
	}
	return chain, nil
}

// read returns the turns of a program, with their texts if all of them fit into one
// response of the store. Otherwise it reads the turns alone: a program may have many times
// the text of one history.
func (l *Ledger) read(ctx context.Context, p ident.ProgramID) (*programTurns, error) {
	all := rows.Range{Table: turnsTable, Part: rows.Partition(p), OnePage: true}
	page, err := l.store.Read(ctx, all)
	l.recordReachability(ctx, err)
	if err != nil || !page.Truncated {
		return decodePage(p, page, err)
	}
	page, err = l.store.Read(ctx, rows.Range{Table: turnsTable, Part: all.Part, From: turnPrefix, To: turnEnd})
	l.recordReachability(ctx, err)
	program, err := decodePage(p, page, err)
	if err != nil {
		return nil, err
	}
	program.partial = true
	return program, nil
}

func decodePage(p ident.ProgramID, page rows.Page, err error) (*programTurns, error) {
	if err != nil {
		return nil, err
	}
	return newProgramTurns(p, page)
}

// readTexts reads the texts of a history that were not read with their programs.
func (l *Ledger) readTexts(ctx context.Context, chain []link) error {
	missing := map[*programTurns][]rows.Key{}
	for _, k := range chain {
		if k.program.partial {
			missing[k.program] = append(missing[k.program], k.row().textKeys(k.program.program, k.turn)...)
		}
	}
	for program, keys := range missing {
		if err := l.readKeys(ctx, program, keys); err != nil {
			return err
		}
	}
	return nil
}

// readKeys reads rows of a program by one response of the store at a time, and skips those
// between them that don't fit into the same response.
func (l *Ledger) readKeys(ctx context.Context, program *programTurns, keys []rows.Key) error {
	slices.Sort(keys)
	for len(keys) > 0 {
		page, err := l.store.Read(ctx, rows.Range{
			Table: turnsTable, Part: rows.Partition(program.program), From: keys[0], To: keys[len(keys)-1].After(), OnePage: true,
		})
		l.recordReachability(ctx, err)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			if _, ok := slices.BinarySearch(keys, row.Key); ok {
				program.texts[row.Key] = row.Value
			}
		}
		if !page.Truncated {
			return nil
		}
		next, _ := slices.BinarySearch(keys, page.Rows[len(page.Rows)-1].Key.After())
		keys = keys[next:]
	}
	return nil
}
