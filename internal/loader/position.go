package loader

import (
	"strconv"
	"strings"
)

// positions has the lines of keys and tables by their paths, such as
// accounts.0.token. The TOML library gives positions of syntax errors only.
type positions map[string]int

// line returns the line of a path, or that of the nearest table around it.
func (p positions) line(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

// maxDepth bounds nested values and the parts of a key; known keys have three.
// The library reads values recursively, and 2 million open brackets overflowed
// its stack; it takes 3 s for a key of 8,192 parts.
const maxDepth = 16

// scanner walks over TOML. It reads text that the library accepts in the same
// way; of other text only the part before the first error.
type scanner struct {
	text   string
	offset int
	line   int
	found  positions
	// elements counts the elements of arrays of tables.
	elements map[string]int
	depth    int
	// deepLine is the line of the first value or key beyond maxDepth, else 0.
	deepLine int
}

// scan returns the positions of a text. If a value or key of the text is nested
// too deeply, it returns its line.
func scan(text string) (found positions, deepLine int) {
	s := &scanner{text: text, line: 1, found: positions{}, elements: map[string]int{}}
	table := ""
	for s.blank(" \t\r\n"); s.more(); s.blank(" \t\r\n") {
		if s.peek() == '[' {
			table = s.header()
			continue
		}
		s.pair(table)
	}
	return s.found, s.deepLine
}

// limit ends the scan if a depth is too large.
func (s *scanner) limit(depth int) {
	if depth > maxDepth {
		s.deepLine = s.line
		s.offset = len(s.text)
	}
}

func (s *scanner) more() bool { return s.offset < len(s.text) }

func (s *scanner) peek() byte {
	if !s.more() {
		return 0
	}
	return s.text[s.offset]
}

func (s *scanner) advance(n int) {
	end := min(s.offset+n, len(s.text))
	s.line += strings.Count(s.text[s.offset:end], "\n")
	s.offset = end
}

// blank passes over characters of a set and over comments.
func (s *scanner) blank(set string) {
	for s.more() {
		switch c := s.peek(); {
		case strings.IndexByte(set, c) >= 0:
			s.advance(1)
		case c == '#':
			comment, _, _ := strings.Cut(s.text[s.offset:], "\n")
			s.advance(len(comment))
		default:
			return
		}
	}
}

// header reads [table] or [[table]] and returns the path of the table.
func (s *scanner) header() string {
	line := s.line
	s.advance(1)
	array := s.peek() == '['
	if array {
		s.advance(1)
	}
	path := ""
	for _, part := range s.key() {
		path = join(path, part)
		if n, ok := s.elements[path]; ok {
			path = join(path, strconv.Itoa(n))
		}
	}
	s.blank(" \t]")
	if array {
		// A further element follows the one whose number was just appended.
		name, n := path, 0
		if i := strings.LastIndexByte(path, '.'); i >= 0 {
			if last, ok := s.elements[path[:i]]; ok && strconv.Itoa(last) == path[i+1:] {
				name, n = path[:i], last+1
			}
		}
		s.elements[name] = n
		s.note(name, line)
		path = join(name, strconv.Itoa(n))
	}
	s.note(path, line)
	return path
}

// pair reads a key and its value.
func (s *scanner) pair(table string) {
	line := s.line
	for _, part := range s.key() {
		table = join(table, part)
		s.note(table, line)
	}
	s.blank(" \t=")
	s.value(table)
}

// key reads a key of one or more parts.
func (s *scanner) key() []string {
	var parts []string
	for s.more() {
		s.blank(" \t")
		start := s.offset
		if c := s.peek(); c == '"' || c == '\'' {
			s.quoted()
			part := strings.Trim(s.text[start:s.offset], string(c))
			if unquoted, err := strconv.Unquote(s.text[start:s.offset]); c == '"' && err == nil {
				part = unquoted
			}
			parts = append(parts, part)
		} else {
			for s.more() && strings.IndexByte(" \t\r\n=.]#\"'", s.peek()) < 0 {
				s.advance(1)
			}
			parts = append(parts, s.text[start:s.offset])
		}
		s.blank(" \t")
		if s.peek() != '.' {
			break
		}
		s.advance(1)
		s.limit(len(parts) + 1)
	}
	return parts
}

// value passes over a value and notes the keys in it.
func (s *scanner) value(path string) {
	s.depth++
	defer func() { s.depth-- }()
	s.limit(s.depth)
	switch s.peek() {
	case '"', '\'':
		s.quoted()
	case '[':
		s.advance(1)
		for n := 0; s.more(); n++ {
			s.blank(" \t\r\n,")
			if s.peek() == ']' {
				s.advance(1)
				return
			}
			element := join(path, strconv.Itoa(n))
			s.note(element, s.line)
			s.value(element)
		}
	case '{':
		s.advance(1)
		for s.more() {
			s.blank(" \t\r\n,")
			if s.peek() == '}' {
				s.advance(1)
				return
			}
			s.pair(path)
		}
	default:
		// At least one character is passed over, so that every loop ends.
		s.advance(1)
		for s.more() && strings.IndexByte(",]}#\r\n", s.peek()) < 0 {
			s.advance(1)
		}
	}
}

// quoted passes over a string of any of the four forms.
func (s *scanner) quoted() {
	quote := s.text[s.offset : s.offset+1]
	if long := strings.Repeat(quote, 3); strings.HasPrefix(s.text[s.offset:], long) {
		quote = long
	}
	s.advance(len(quote))
	for s.more() && !strings.HasPrefix(s.text[s.offset:], quote) {
		if s.peek() == '\\' && quote[0] == '"' {
			s.advance(1)
		}
		s.advance(1)
	}
	s.advance(len(quote))
	// A long string may end with up to two quotes of its own.
	for len(quote) == 3 && s.peek() == quote[0] {
		s.advance(1)
	}
}

func (s *scanner) note(path string, line int) {
	if _, ok := s.found[path]; !ok {
		s.found[path] = line
	}
}

func parent(path string) string { return path[:max(strings.LastIndexByte(path, '.'), 0)] }

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}
