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
	// indexTable maps turns to programs, for turns that continue a turn of another
	// program.
	indexTable rows.Table = "turn_programs"
	indexKey   rows.Key   = "program"
	// indexParts is the number of parts that may have the index row of a turn.
	// With a single part, an outage of that part would also fail the turns of
	// programs whose own part is available.
	indexParts = 3
)

const (
	// turnPrefix is the key prefix of turns.
	turnPrefix = "turn/"
	// maxChunkBytes bounds the text in one row. Rows hold 64 KiB, of which base64
	// encoding leaves 48 KiB.
	maxChunkBytes = 40 << 10
)

// turnRow is the stored form of a turn.
type turnRow struct {
	Previous ident.RequestID `json:"previous,omitempty"`
	// Account is the client account of the turn, empty if it has none.
	Account ident.AccountID `json:"account,omitempty"`
	// Chunks is the number of rows with the turn's text.
	Chunks int `json:"chunks"`
	// Index is the number of the part that has the turn's index row.
	Index int `json:"index,omitempty"`
	// Write is the ID of the write, by which a writer recognizes its own row after
	// a lost response.
	Write string `json:"write"`
}

func turnID(p ident.ProgramID, t ident.RequestID) rows.ID {
	return rows.ID{Table: turnsTable, Part: rows.Partition(p), Key: rows.Key(turnPrefix + string(t))}
}

func textID(p ident.ProgramID, t ident.RequestID, chunk int) rows.ID {
	return rows.ID{Table: turnsTable, Part: rows.Partition(p), Key: rows.Key(fmt.Sprintf("text/%s/%04d", t, chunk))}
}

// indexID returns the ID of a turn's index row in the given part.
func indexID(t ident.RequestID, part int) rows.ID {
	id := rows.ID{Table: indexTable, Part: rows.Partition(t), Key: indexKey}
	if part > 0 {
		id.Part = rows.Partition(fmt.Sprintf("%s/%d", t, part))
	}
	return id
}

func decode(row rows.Row, into any) error {
	return errors.Annotatef(json.Unmarshal(row.Value, into), "decode row %s of program %s", row.Key, row.Part)
}

// programTurns has the decoded rows of one program.
type programTurns struct {
	program ident.ProgramID
	turns   map[ident.RequestID]turnRow
	texts   map[rows.Key][]byte
}

// newProgramTurns decodes the rows of a program.
func newProgramTurns(p ident.ProgramID, page rows.Page) (*programTurns, error) {
	decoded := &programTurns{program: p, turns: map[ident.RequestID]turnRow{}, texts: map[rows.Key][]byte{}}
	for _, row := range page.Rows {
		turn, ok := strings.CutPrefix(string(row.Key), turnPrefix)
		if !ok {
			decoded.texts[row.Key] = row.Value
			continue
		}
		var stored turnRow
		if err := decode(row, &stored); err != nil {
			return nil, err
		}
		decoded.turns[ident.RequestID(turn)] = stored
	}
	return decoded, nil
}

// text returns the text of a turn.
func (p *programTurns) text(t ident.RequestID) ([]byte, error) {
	var text []byte
	for chunk := range p.turns[t].Chunks {
		part, ok := p.texts[textID(p.program, t, chunk).Key]
		if !ok {
			return nil, errors.Errorf("chunk %d of the text of turn %s is missing in program %s", chunk, t, p.program)
		}
		text = append(text, part...)
	}
	return text, nil
}
