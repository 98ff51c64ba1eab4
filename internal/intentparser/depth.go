package intentparser

import "strings"

// The TOML library recurses with nested values and copies the prefixes of a
// dotted key, so that a text of some megabytes could exhaust the stack or the
// processor. No intent has values deeper than an array, nor keys of two parts.
const (
	maxDepth = 16
	maxParts = 16
)

// tooDeep returns the line of the first value or key that is nested too deeply,
// or 0. Brackets and dots within strings and comments do not count.
func tooDeep(text string) int {
	line, depth, parts := 1, 0, 0
	for i := 0; i < len(text); {
		switch c := text[i]; c {
		case '\n':
			line, parts = line+1, 0
		case '#':
			end := strings.IndexByte(text[i:], '\n')
			if end < 0 {
				return 0
			}
			i += end
			continue
		case '"', '\'':
			next := skipString(text, i)
			line += strings.Count(text[i:next], "\n")
			i = next
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '.':
			parts++
		}
		if depth > maxDepth || parts > maxParts {
			return line
		}
		i++
	}
	return 0
}

// skipString returns the position after the string that begins at a quote. A
// string that does not end goes to the end of its line, or of the text if it has
// three quotes.
func skipString(text string, start int) int {
	quote := text[start : start+1]
	if triple := strings.Repeat(quote, 3); strings.HasPrefix(text[start:], triple) {
		quote = triple
	}
	for i := start + len(quote); i < len(text); i++ {
		switch {
		case text[i] == '\\' && quote[0] == '"':
			i++
		case text[i] == '\n' && len(quote) == 1:
			return i
		case strings.HasPrefix(text[i:], quote):
			return i + len(quote)
		}
	}
	return len(text)
}
