package loader

import (
	"strconv"
	"strings"
)

// positions maps the paths of keys and tables, such as accounts.0.token, to their
// lines. The TOML library has positions of syntax errors only.
type positions map[string]int

// line returns the line of a path, or of the innermost enclosing table that has
// one.
func (p positions) line(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

// maxDepth bounds the nesting of values and the parts of a key; known keys have
// up to three. The library parses values recursively: 2 million open brackets
// overflow its stack, and a key of 8,192 parts takes 3 s.
const maxDepth = 16

// scanner finds the lines of keys and tables in TOML. It agrees with the library
// on text that the library accepts. Of other text, only the part before the first
// error is scanned reliably.
type scanner struct {
	text   string
	offset int
	line   int
	found  positions
	// elements has the index of the last element of each array of tables.
	elements map[string]int
	depth    int
	// tooDeepLine is the line of the first value or key that exceeds maxDepth, or
	// 0 if there is none.
	tooDeepLine int
}

// scan returns the positions in a text. tooDeepLine is the line of a value or key
// that is nested too deeply, or 0.
func scan(text string) (found positions, tooDeepLine int) {
	s := &scanner{text: text, line: 1, found: positions{}, elements: map[string]int{}}
	table := ""
	for s.skipBlank(" \t\r\n"); s.more(); s.skipBlank(" \t\r\n") {
		if s.peek() == '[' {
			table = s.scanHeader()
			continue
		}
		s.scanPair(table)
	}
	return s.found, s.tooDeepLine
}

// checkDepth ends the scan if a depth exceeds maxDepth.
func (s *scanner) checkDepth(depth int) {
	if depth > maxDepth {
		s.tooDeepLine = s.line
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

// skipBlank skips characters of a set, and comments.
func (s *scanner) skipBlank(set string) {
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

// scanHeader scans [table] or [[table]] and returns the path of the table.
func (s *scanner) scanHeader() string {
	line := s.line
	s.advance(1)
	array := s.peek() == '['
	if array {
		s.advance(1)
	}
	path := ""
	for _, part := range s.scanKey() {
		path = join(path, part)
		if n, ok := s.elements[path]; ok {
			path = join(path, strconv.Itoa(n))
		}
	}
	s.skipBlank(" \t]")
	if array {
		// If the array exists already, the path ends with the index of its last
		// element.
		name, n := path, 0
		if i := strings.LastIndexByte(path, '.'); i >= 0 {
			if last, ok := s.elements[path[:i]]; ok && strconv.Itoa(last) == path[i+1:] {
				name, n = path[:i], last+1
			}
		}
		s.elements[name] = n
		s.recordLine(name, line)
		path = join(name, strconv.Itoa(n))
	}
	s.recordLine(path, line)
	return path
}

// scanPair scans a key and its value.
func (s *scanner) scanPair(table string) {
	line := s.line
	for _, part := range s.scanKey() {
		table = join(table, part)
		s.recordLine(table, line)
	}
	s.skipBlank(" \t=")
	s.scanValue(table)
}

// scanKey scans a key of one or more parts.
func (s *scanner) scanKey() []string {
	var parts []string
	for s.more() {
		s.skipBlank(" \t")
		start := s.offset
		if c := s.peek(); c == '"' || c == '\'' {
			s.skipQuoted()
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
		s.skipBlank(" \t")
		if s.peek() != '.' {
			break
		}
		s.advance(1)
		s.checkDepth(len(parts) + 1)
	}
	return parts
}

// scanValue scans a value and records the lines of the keys in it.
func (s *scanner) scanValue(path string) {
	s.depth++
	defer func() { s.depth-- }()
	s.checkDepth(s.depth)
	switch s.peek() {
	case '"', '\'':
		s.skipQuoted()
	case '[':
		s.advance(1)
		for n := 0; s.more(); n++ {
			s.skipBlank(" \t\r\n,")
			if s.peek() == ']' {
				s.advance(1)
				return
			}
			element := join(path, strconv.Itoa(n))
			s.recordLine(element, s.line)
			s.scanValue(element)
		}
	case '{':
		s.advance(1)
		for s.more() {
			s.skipBlank(" \t\r\n,")
			if s.peek() == '}' {
				s.advance(1)
				return
			}
			s.scanPair(path)
		}
	default:
		// At least one character is skipped, so that every loop terminates.
		s.advance(1)
		for s.more() && strings.IndexByte(",]}#\r\n", s.peek()) < 0 {
			s.advance(1)
		}
	}
}

// skipQuoted skips a string in any of the four forms of TOML.
func (s *scanner) skipQuoted() {
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
	// A multi-line string may have up to two quotes before its delimiter.
	for len(quote) == 3 && s.peek() == quote[0] {
		s.advance(1)
	}
}

func (s *scanner) recordLine(path string, line int) {
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
