package intentparser

import "strings"

// tableLines holds the lines of a table's header and keys.
type tableLines struct {
	header int
	keys   map[string]int
}

// line returns the line of a key, or the line of the table's header if the key is
// not found.
func (p tableLines) line(key string) int {
	if line, ok := p.keys[key]; ok {
		return line
	}
	return p.header
}

// lineIndex holds the lines of the tables and keys of a text. The TOML library
// reports positions of syntax errors only.
type lineIndex struct {
	top    map[string]int
	tables []tableLines
}

func (p lineIndex) table(i int) tableLines {
	if i < len(p.tables) {
		return p.tables[i]
	}
	return tableLines{header: p.top["intent"]}
}

// indexLines finds the lines of tables and keys. It skips multi-line strings.
// Keys of inline tables are not indexed; they have the line of their table.
func indexLines(text string) lineIndex {
	p := lineIndex{top: map[string]int{}}
	keys := p.top
	closing := ""
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if closing != "" {
			if strings.Contains(line, closing) {
				closing = ""
			}
			continue
		}
		name, isTable := strings.CutPrefix(line, "[")
		if isTable {
			// A line such as ["a"], may also be an element of an array. Indexing
			// it does no harm, because no table of that name is looked up.
			name, _, _ = strings.Cut(strings.TrimPrefix(name, "["), "]")
			name = unquote(name)
			if _, ok := p.top[name]; !ok {
				p.top[name] = number
			}
			keys = map[string]int{}
			if name == "intent" {
				p.tables = append(p.tables, tableLines{header: number, keys: keys})
			}
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		key, _, _ = strings.Cut(unquote(key), ".")
		if _, ok := keys[key]; !ok {
			keys[key] = number
		}
		for _, quotes := range []string{`"""`, `'''`} {
			if strings.Count(value, quotes) == 1 {
				closing = quotes
			}
		}
	}
	return p
}

func unquote(name string) string {
	return strings.Trim(strings.TrimSpace(name), `"'`)
}
