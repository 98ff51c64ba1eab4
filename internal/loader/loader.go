package loader

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// defaultMaxBytes is far above the 1.6 MB of a file with 19,000 accounts.
const defaultMaxBytes = 4 << 20

// Loader reads and validates settings files.
type Loader struct {
	maxBytes int64
}

// Option configures a Loader.
type Option func(*Loader)

// WithMaxBytes sets the limit on the size of a file.
func WithMaxBytes(n int64) Option { return func(l *Loader) { l.maxBytes = n } }

// New returns a Loader.
func New(options ...Option) *Loader {
	l := &Loader{maxBytes: defaultMaxBytes}
	for _, option := range options {
		option(l)
	}
	return l
}

// Load reads and validates a file. The error is of type Problems unless the file
// cannot be read.
func (l *Loader) Load(path string) (*settings.Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "open settings file; check the path and its permissions")
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, l.maxBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "read settings file; check the file")
	}
	return l.Parse(path, string(text))
}

// Parse validates the text of a file, whose name is used in errors. The error is
// of type Problems.
func (l *Loader) Parse(file, text string) (*settings.Settings, error) {
	if int64(len(text)) > l.maxBytes {
		return nil, Problems{{File: file, Line: 1, Message: "the file is too long; remove what the daemon does not need"}}
	}
	lines, tooDeepLine := scan(text)
	if tooDeepLine > 0 {
		return nil, Problems{{File: file, Line: tooDeepLine, Message: "the value or key is nested too deeply; remove it"}}
	}
	var rootTable map[string]any
	if _, err := toml.Decode(text, &rootTable); err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	r := &reader{file: file, lines: lines, settings: &settings.Settings{}, failed: map[string]bool{}}
	r.readDocument(rootTable)
	r.checkRules()
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return strings.Compare(a.Key, b.Key)
		})
		return nil, r.problems
	}
	return r.settings, nil
}

// syntaxProblem returns the problem of a text that is not valid TOML. The message
// of the library is omitted, because it may quote a part of a token.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Message: "invalid TOML; correct this line or the one before: strings need quotes, and a key may occur only once"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.Line = max(parse.Position.Line, 1)
	}
	return p
}
