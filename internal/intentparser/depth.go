package intentparser

import "strings"

// The TOML library recurses into nested values and copies all prefixes of a dotted
// key, so a text of a few megabytes could exhaust the stack or the CPU. Intents
// need neither values nested deeper than an array nor keys of several parts.
const (
	maxDepth    = 16
	maxKeyParts = 16
)

// findDeepNesting returns the line of the first value or key that is nested too
// deeply, or 0 if there is none. Brackets and dots in strings and comments do not
// count.
func findDeepNesting(text string) int {
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
		if depth > maxDepth || parts > maxKeyParts {
			return line
		}
		i++
	}
	return 0
}

// skipString returns the position after the string whose opening quote is at
// start. An unterminated string ends with its line, or with the text if it is
// delimited by three quotes.
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
