// Package loader reads the settings of a daemon from a TOML file.
//
// A file is accepted as a whole or not at all. The error lists every problem
// with its place in the file and a remedy.
package loader

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// Loader reads settings.
type Loader struct{ keys []settings.Key }

// New returns a Loader for the table of keys.
func New() *Loader { return &Loader{keys: settings.Keys()} }

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line is 1 for a key that is missing.
	Line    int
	Key     string
	Message string
	Remedy  string
}

// Problems are all faults of a file, in the order of lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s; %s", problem.File, problem.Line, problem.Key, problem.Message, problem.Remedy)
	}
	return strings.Join(lines, "\n")
}

// Load reads a file. The error is Problems if the file could be read.
func (l *Loader) Load(path string) (settings.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, errors.Annotate(err, "settings; name a readable file")
	}
	return l.Parse(path, data)
}

// Parse reads the contents of a file with a name. The error is Problems.
func (l *Loader) Parse(name string, data []byte) (settings.Settings, error) {
	var root map[string]any
	if _, err := toml.Decode(string(data), &root); err != nil {
		problem := Problem{File: name, Line: 1, Key: "file", Message: err.Error(), Remedy: "correct the TOML syntax"}
		var syntax toml.ParseError
		if errors.As(err, &syntax) {
			problem.Line, problem.Message = max(syntax.Position.Line, 1), syntax.Message
			if syntax.LastKey != "" {
				problem.Key = syntax.LastKey
			}
		}
		return settings.Settings{}, Problems{problem}
	}
	c := &checker{file: name, lines: index(string(data)), known: map[string]bool{}}
	c.table("", "", root, l.keys)
	c.accounts(root[settings.AccountsKey], l.keys)
	c.unknown("", "", root)
	if len(c.problems) == 0 {
		c.relations()
	}
	if len(c.problems) > 0 {
		sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line < c.problems[j].Line })
		return settings.Settings{}, c.problems
	}
	return c.result, nil
}

// index returns the line of each key and table header. It serves messages only;
// a key that it misses is reported at the line of its table.
func index(text string) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	prefix := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := clean(strings.SplitN(strings.TrimPrefix(line, "[["), "]", 2)[0])
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[prefix] = i + 1
			continue
		case strings.HasPrefix(line, "["):
			prefix = clean(strings.SplitN(strings.TrimPrefix(line, "["), "]", 2)[0])
			lines[prefix] = i + 1
			continue
		}
		if key, _, found := strings.Cut(line, "="); found && !strings.HasPrefix(line, "#") {
			path := join(prefix, clean(key))
			if _, seen := lines[path]; !seen {
				lines[path] = i + 1
			}
		}
	}
	return lines
}

func clean(key string) string {
	parts := strings.Split(key, ".")
	for i, part := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(part), `"'`)
	}
	return strings.Join(parts, ".")
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
