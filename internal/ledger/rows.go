package ledger

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	programsTable rows.Table = "programs"
	// indexTable finds the program of a turn that a turn of another program
	// continues.
	indexTable rows.Table = "turns"

	budgetKey rows.Key = "budget"
	indexKey  rows.Key = "program"
	// textChunk bounds the text in one row in bytes. Rows hold 64 KiB, in which
	// base64 leaves 48 KiB.
	textChunk = 40 << 10
)

// budgetRow is the row that every reservation of a program replaces.
type budgetRow struct {
	// Reserved is the sum of the largest sizes of all turns so far.
	Reserved unit.Tokens `json:"reserved"`
}

// turnRow is the row of one turn.
type turnRow struct {
	Largest unit.Tokens `json:"largest"`
	// Used is what callers received, if the turn is settled.
	Used     unit.Tokens     `json:"used"`
	Settled  bool            `json:"settled"`
	Complete bool            `json:"complete"`
	Previous ident.RequestID `json:"previous,omitempty"`
	// PreviousProgram is the program of Previous.
	PreviousProgram ident.ProgramID `json:"previous_program,omitempty"`
	// Chunks is the number of rows with the turn's text.
	Chunks int `json:"chunks,omitempty"`
}

func programPart(p ident.ProgramID) rows.Part { return rows.Part(p) }

func budgetID(p ident.ProgramID) rows.ID {
	return rows.ID{Table: programsTable, Part: programPart(p), Key: budgetKey}
}

func turnID(p ident.ProgramID, t ident.RequestID) rows.ID {
	return rows.ID{Table: programsTable, Part: programPart(p), Key: rows.Key("turn/" + string(t))}
}

func textID(p ident.ProgramID, t ident.RequestID, chunk int) rows.ID {
	return rows.ID{Table: programsTable, Part: programPart(p), Key: rows.Key(fmt.Sprintf("text/%s/%04d", t, chunk))}
}

func indexID(t ident.RequestID) rows.ID {
	return rows.ID{Table: indexTable, Part: rows.Part(t), Key: indexKey}
}

func put(id rows.ID, value any) (rows.Put, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return rows.Put{}, errors.Annotatef(err, "encode row %s of program %s", id.Key, id.Part)
	}
	return rows.Put{ID: id, Value: encoded}, nil
}

func decode(row rows.Row, into any) error {
	return errors.Annotatef(json.Unmarshal(row.Value, into), "row %s of program %s can't be read", row.Key, row.Part)
}

// account is all rows of one program.
type account struct {
	program ident.ProgramID
	budget  budgetRow
	// version is that of the budget row, 0 if there is none.
	version rows.Version
	turns   map[ident.RequestID]storedTurn
	texts   map[rows.Key][]byte
}

type storedTurn struct {
	turnRow
	version rows.Version
}

// newAccount decodes the rows of a program.
func newAccount(p ident.ProgramID, page rows.Page) (*account, error) {
	a := &account{program: p, turns: map[ident.RequestID]storedTurn{}, texts: map[rows.Key][]byte{}}
	for _, row := range page.Rows {
		var err error
		switch key := string(row.Key); {
		case row.Key == budgetKey:
			a.version = row.Version
			err = decode(row, &a.budget)
		case len(key) > len("turn/") && key[:len("turn/")] == "turn/":
			turn := storedTurn{version: row.Version}
			err = decode(row, &turn.turnRow)
			a.turns[ident.RequestID(key[len("turn/"):])] = turn
		default:
			a.texts[row.Key] = row.Value
		}
		if err != nil {
			return nil, err
		}
	}
	return a, nil
}

// spent is what the program's turns count against its budget: settled turns at
// what callers received, all others at their largest size.
func (a *account) spent() unit.Tokens {
	spent := a.budget.Reserved
	for _, turn := range a.turns {
		if turn.Settled {
			spent -= turn.Largest - turn.Used
		}
	}
	return spent
}

// text returns the text of a complete turn.
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
