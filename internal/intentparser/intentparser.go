// Package intentparser parses intents from TOML.
//
// A text has one table [[intent]] per intent. Intents apply in the order of the
// text. The key kind selects the intent's type, which determines the other keys:
//
//	[[intent]]
//	kind = "create_loan"
//	upstream = "u1"
//	borrower = "permits"
//	share = 0.25
//	reclaim = "2s"
package intentparser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// Error is an error at a line of the text.
type Error struct {
	// Line counts from 1. It is 0 if the line is unknown.
	Line    int
	Message string
}

// Error returns the line and the message.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

// List holds the errors of one text in the order of their lines.
type List []*Error

// Error returns all errors, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the list an error of the kind failure.InvalidRequest.
func (l List) Unwrap() error {
	return failure.Refusal(failure.InvalidRequest, 0, "the intent has errors:\n%s", l.Error())
}

func (l *List) add(line int, format string, args ...any) {
	*l = append(*l, &Error{Line: line, Message: fmt.Sprintf(format, args...)})
}

const (
	// maxTextBytes limits the size of a text. The plan's row holds the text, the
	// plan's steps and the base configuration, and a row is limited to 400 KB.
	maxTextBytes = 128 << 10
	// maxErrors limits the length of a List, because an error may be longer than
	// the line that it reports.
	maxErrors = 50
)

// Parse parses intents. Its error is a List.
func Parse(text string) (intent.Batch, error) {
	var errs List
	if len(text) > maxTextBytes {
		errs.add(1, "the text has %d bytes; split it into texts of at most %d bytes", len(text), maxTextBytes)
		return intent.Batch{}, errs
	}
	if line := findDeepNesting(text); line > 0 {
		errs.add(line, "a value or key is nested too deeply; remove it")
		return intent.Batch{}, errs
	}
	var document map[string]toml.Primitive
	meta, err := toml.Decode(text, &document)
	if err != nil {
		errs.add(lineOf(err, 0), "%s; correct the TOML", messageOf(err))
		return intent.Batch{}, errs
	}
	positions := indexLines(text)
	for key := range document {
		if key != "intent" {
			errs.add(positions.top[key], "unknown key %q; put every intent in a table [[intent]]", key)
		}
	}
	var tables []map[string]toml.Primitive
	if primitive, ok := document["intent"]; ok {
		if err := meta.PrimitiveDecode(primitive, &tables); err != nil {
			errs.add(positions.top["intent"], "intent is not an array of tables; write [[intent]]")
		}
	}
	var batch intent.Batch
	for i, table := range tables {
		if len(errs) >= maxErrors {
			break
		}
		if wanted := parseTable(meta, table, positions.table(i), &errs); wanted != nil {
			batch.Intents = append(batch.Intents, wanted)
		}
	}
	if len(tables) == 0 && len(errs) == 0 {
		errs.add(1, "the text has no intent; add a table [[intent]]")
	}
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(a, b *Error) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return strings.Compare(a.Message, b.Message)
		})
		return intent.Batch{}, errs
	}
	return batch, nil
}

// parseTable parses one intent. It returns nil if it adds errors.
func parseTable(meta toml.MetaData, table map[string]toml.Primitive, lines tableLines, errs *List) intent.Intent {
	before := len(*errs)
	var r values
	read := func(key string) {
		if err := meta.PrimitiveDecode(table[key], r.target(key)); err != nil {
			errs.add(lines.line(key), "invalid value of %s: %s; correct the value", key, messageOf(err))
		}
	}
	if _, ok := table["kind"]; !ok {
		errs.add(lines.header, "the intent has no kind; use one of %s", strings.Join(kinds(), ", "))
		return nil
	}
	read("kind")
	s, ok := specs[r.Kind]
	if len(*errs) == before && !ok {
		errs.add(lines.line("kind"), "unknown kind %q; use one of %s", r.Kind, strings.Join(kinds(), ", "))
	}
	if len(*errs) > before {
		return nil
	}
	for key := range table {
		switch {
		case key == "kind":
		case slices.Contains(s.required, key) || slices.Contains(s.optional, key):
			read(key)
		default:
			errs.add(lines.line(key), "unknown key %q of %s; use %s", key, r.Kind, strings.Join(slices.Concat(s.required, s.optional), ", "))
		}
	}
	for _, key := range s.required {
		if _, ok := table[key]; !ok {
			errs.add(lines.header, "%s needs the key %s; add it", r.Kind, key)
		}
	}
	if len(*errs) > before {
		return nil
	}
	return s.build(r)
}

func lineOf(err error, fallback int) int {
	var parsing toml.ParseError
	if errors.As(err, &parsing) {
		return parsing.Position.Line
	}
	return fallback
}

// messageOf returns the message of an error without its position. The library
// looks up the position of a value by its key, so if several tables have the key,
// the position is that of the last table.
func messageOf(err error) string {
	message := err.Error()
	var parsing toml.ParseError
	if errors.As(err, &parsing) && parsing.Message != "" {
		message = parsing.Message
	}
	if _, rest, ok := strings.Cut(message, "(last key "); ok {
		if _, reason, ok := strings.Cut(rest, "): "); ok {
			return reason
		}
	}
	return strings.TrimPrefix(message, "toml: ")
}
