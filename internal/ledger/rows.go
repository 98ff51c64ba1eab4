package ledger

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

const (
	turnsTable rows.Table = "turns"
	// indexTable finds the program of a turn that a turn of another program
	// continues.
	indexTable rows.Table = "turn_programs"
	indexKey   rows.Key   = "program"
	// indexParts is the number of parts of the store in which the row of a turn
	// may be. An outage of some parts would otherwise hit the turns of programs
	// whose own part is served.
	indexParts = 3
)

const (
	// turnPrefix begins the keys of turns.
	turnPrefix = "turn/"
	// textChunk bounds the text in one row in bytes. Rows hold 64 KiB, in which
	// base64 leaves 48 KiB.
	textChunk = 40 << 10
)

// turnRow is the row of one turn.
type turnRow struct {
	Previous ident.RequestID `json:"previous,omitempty"`
	// Chunks is the number of rows with the turn's text.
	Chunks int `json:"chunks"`
	// Index is the number of the part that has the turn's row of the index.
	Index int `json:"index,omitempty"`
	// Write is the id of the write, by which the writer recognizes its row if
	// the answer was lost.
	Write string `json:"write"`
}

func turnID(p ident.ProgramID, t ident.RequestID) rows.ID {
	return rows.ID{Table: turnsTable, Part: rows.Part(p), Key: rows.Key(turnPrefix + string(t))}
}

func textID(p ident.ProgramID, t ident.RequestID, chunk int) rows.ID {
	return rows.ID{Table: turnsTable, Part: rows.Part(p), Key: rows.Key(fmt.Sprintf("text/%s/%04d", t, chunk))}
}

// indexID is the row of a turn in one of the parts in which it may be.
func indexID(t ident.RequestID, part int) rows.ID {
	id := rows.ID{Table: indexTable, Part: rows.Part(t), Key: indexKey}
	if part > 0 {
		id.Part = rows.Part(fmt.Sprintf("%s/%d", t, part))
	}
	return id
}

func decode(row rows.Row, into any) error {
	return errors.Annotatef(json.Unmarshal(row.Value, into), "row %s of program %s can't be read", row.Key, row.Part)
}

// account is all rows of one program.
type account struct {
	program ident.ProgramID
	turns   map[ident.RequestID]turnRow
	texts   map[rows.Key][]byte
}

// newAccount decodes the rows of a program.
func newAccount(p ident.ProgramID, page rows.Page) (*account, error) {
	a := &account{program: p, turns: map[ident.RequestID]turnRow{}, texts: map[rows.Key][]byte{}}
	for _, row := range page.Rows {
		turn, ok := strings.CutPrefix(string(row.Key), turnPrefix)
		if !ok {
			a.texts[row.Key] = row.Value
			continue
		}
		var stored turnRow
		if err := decode(row, &stored); err != nil {
			return nil, err
		}
		a.turns[ident.RequestID(turn)] = stored
	}
	return a, nil
}

// text returns the text of a turn.
func (a *account) text(t ident.RequestID) ([]byte, error) {
	var text []byte
	for chunk := range a.turns[t].Chunks {
		part, ok := a.texts[textID(a.program, t, chunk).Key]
		if !ok {
			return nil, errors.Errorf("text %d of turn %s is missing in program %s", chunk, t, a.program)
		}
		text = append(text, part...)
	}
	return text, nil
}
