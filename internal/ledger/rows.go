package ledger

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
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
	// turnPrefix is the key prefix of turns, and turnEnd the key after the last one.
	turnPrefix = "turn/"
	turnEnd    = "turn0"
	// maxChunkBytes bounds the text in one row. Rows hold 64 KiB, of which base64
	// encoding leaves 48 KiB.
	maxChunkBytes = 40 << 10
	// maxChunks bounds the chunks in one transaction. The store accepts 1 MB, of which
	// their base64 encoding takes 0.87 MB.
	maxChunks = 16
)

// MaxTransactionBytes is the size of the text that one transaction holds.
const MaxTransactionBytes unit.Bytes = maxChunks * maxChunkBytes

// turnRow is the stored form of a turn.
type turnRow struct {
	Previous ident.RequestID `json:"previous,omitempty"`
	// Account is the client account of the turn, empty if it has none.
	Account ident.AccountID `json:"account,omitempty"`
	// Chunks is the number of rows with the turn's text, and Bytes its size, 0 in a row of
	// an older version.
	Chunks int `json:"chunks"`
	Bytes  int `json:"bytes,omitempty"`
	// Split is true if several transactions wrote the text. The keys of its rows then have
	// the ID of the write, so that two writers of a turn don't mix their texts.
	Split bool `json:"split,omitempty"`
	// Index is the number of the part that has the turn's index row.
	Index int `json:"index,omitempty"`
	// Write is the ID of the write, by which a writer recognizes its own row after
	// a lost response.
	Write string `json:"write"`
}

func turnID(p ident.ProgramID, t ident.RequestID) rows.ID {
	return rows.ID{Table: turnsTable, Part: rows.Partition(p), Key: rows.Key(turnPrefix + string(t))}
}

// textID returns the ID of a row of a turn's text. The write is empty unless the text is
// split.
func textID(p ident.ProgramID, t ident.RequestID, write string, chunk int) rows.ID {
	key := fmt.Sprintf("text/%s/%04d", t, chunk)
	if write != "" {
		key = fmt.Sprintf("text/%s/%s/%04d", t, write, chunk)
	}
	return rows.ID{Table: turnsTable, Part: rows.Partition(p), Key: rows.Key(key)}
}

// textKeys returns the keys of a turn's text in order.
func (r turnRow) textKeys(p ident.ProgramID, t ident.RequestID) []rows.Key {
	write := ""
	if r.Split {
		write = r.Write
	}
	keys := make([]rows.Key, r.Chunks)
	for chunk := range keys {
		keys[chunk] = textID(p, t, write, chunk).Key
	}
	return keys
}

// textBytes returns the size of a turn's text, or a bound of it.
func (r turnRow) textBytes() unit.Bytes {
	if r.Bytes > 0 {
		return unit.Bytes(r.Bytes)
	}
	return unit.Bytes(r.Chunks * maxChunkBytes)
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
	// partial is true if the texts were not read with the turns.
	partial bool
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
	for i, key := range p.turns[t].textKeys(p.program, t) {
		part, ok := p.texts[key]
		if !ok {
			return nil, errors.Errorf("chunk %d of the text of turn %s is missing in program %s", i, t, p.program)
		}
		text = append(text, part...)
	}
	return text, nil
}
