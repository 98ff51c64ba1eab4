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

// defaultMaxBytes has room for 19,000 accounts, which take 1.6 MB.
const defaultMaxBytes = 4 << 20

// Loader reads and checks settings.
type Loader struct {
	maxBytes int64
}

// Option changes how New builds a Loader.
type Option func(*Loader)

// WithMaxBytes sets the largest file that is read.
func WithMaxBytes(n int64) Option { return func(l *Loader) { l.maxBytes = n } }

// New returns a loader.
func New(options ...Option) *Loader {
	l := &Loader{maxBytes: defaultMaxBytes}
	for _, option := range options {
		option(l)
	}
	return l
}

// Load reads a file. The error is Problems unless the file can't be read.
func (l *Loader) Load(path string) (*settings.Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "the settings can't be read; check the path and its permissions")
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, l.maxBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "the settings can't be read; check the file")
	}
	return l.Parse(path, string(text))
}

// Parse checks the text of a file, whose name is used in errors. The error is
// Problems.
func (l *Loader) Parse(file, text string) (*settings.Settings, error) {
	if int64(len(text)) > l.maxBytes {
		return nil, Problems{{File: file, Line: 1, Message: "the file is too long; remove what the daemon does not need"}}
	}
	lines, deepLine := scan(text)
	if deepLine > 0 {
		return nil, Problems{{File: file, Line: deepLine, Message: "the value or key is nested too deeply; remove it"}}
	}
	var document map[string]any
	if _, err := toml.Decode(text, &document); err != nil {
		return nil, Problems{syntax(file, err)}
	}
	r := &reader{file: file, lines: lines, settings: &settings.Settings{}, failed: map[string]bool{}}
	r.document(document)
	r.rules()
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

// syntax returns the problem of a text that is no TOML. The library's message
// is left out, because it may quote a part of a token.
func syntax(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Message: "the text is no valid TOML; correct this line or the one before, texts need quotes and a key may occur once"}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		p.Line = max(parse.Position.Line, 1)
	}
	return p
}
