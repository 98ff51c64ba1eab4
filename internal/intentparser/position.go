package intentparser

import "strings"

// place is where a table and its keys are in the text.
type place struct {
	header int
	keys   map[string]int
}

// line returns the line of a key, or that of the table's header.
func (p place) line(key string) int {
	if line, ok := p.keys[key]; ok {
		return line
	}
	return p.header
}

// positions has the places of a text. The TOML library gives positions of
// syntax errors only.
type positions struct {
	top    map[string]int
	tables []place
}

func (p positions) table(i int) place {
	if i < len(p.tables) {
		return p.tables[i]
	}
	return place{header: p.top["intent"]}
}

// scan finds the lines of tables and keys. Text in multi-line strings is passed
// over. Keys of inline tables are found at the line of their table only.
func scan(text string) positions {
	p := positions{top: map[string]int{}}
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
			// A line such as ["a"], can also be part of an array; it is not
			// preceded by a key and names no table that is looked up.
			name, _, _ = strings.Cut(strings.TrimPrefix(name, "["), "]")
			name = unquote(name)
			if _, ok := p.top[name]; !ok {
				p.top[name] = number
			}
			keys = map[string]int{}
			if name == "intent" {
				p.tables = append(p.tables, place{header: number, keys: keys})
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
