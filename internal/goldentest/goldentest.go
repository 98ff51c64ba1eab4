package goldentest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "rewrite the decisions of golden tables")

// Check runs the tables that match a file pattern. It returns an error that
// names the first line whose decision differs, or that no table matches.
func Check(pattern string, decide func(line string) string) error {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no golden table matches %q", pattern)
	}
	for _, path := range paths {
		if err := check(path, decide); err != nil {
			return err
		}
	}
	return nil
}

func check(path string, decide func(line string) string) error {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		return err
	}
	var input, want string
	for _, file := range archive.Files {
		switch file.Name {
		case "input":
			input = string(file.Data)
		case "decisions":
			want = string(file.Data)
		}
	}
	var got strings.Builder
	for line := range strings.Lines(input) {
		line = strings.TrimSuffix(line, "\n")
		if line != "" && !strings.HasPrefix(line, "#") {
			line = decide(line)
		}
		got.WriteString(line + "\n")
	}
	if *update {
		archive.Files = []txtar.File{
			{Name: "input", Data: []byte(input)},
			{Name: "decisions", Data: []byte(got.String())},
		}
		return os.WriteFile(path, txtar.Format(archive), 0o644)
	}
	inputs, gots, wants := strings.Split(input, "\n"), strings.Split(got.String(), "\n"), strings.Split(want, "\n")
	for i, line := range gots {
		if i >= len(wants) || line != wants[i] {
			return fmt.Errorf("%s: input line %d: %q: decision is %q; run with -update and read the difference",
				path, i+1, inputs[i], line)
		}
	}
	if len(wants) != len(gots) {
		return fmt.Errorf("%s: %d lines of decisions, want %d", path, len(wants), len(gots))
	}
	return nil
}

// Fields are the key=value words of a line.
type Fields map[string]string

// Parse splits a line. A word without a value has the value "true".
func Parse(line string) Fields {
	fields := Fields{}
	for word := range strings.FieldsSeq(line) {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			value = "true"
		}
		fields[key] = value
	}
	return fields
}

// Has reports whether the line has a key.
func (f Fields) Has(key string) bool { return f[key] != "" }

// Int returns a number, 0 if the line does not have it. It panics on other text.
func (f Fields) Int(key string) int { return int(f.Float(key)) }

// Float returns a number, 0 if the line does not have it. It panics on other text.
func (f Fields) Float(key string) float64 {
	if !f.Has(key) {
		return 0
	}
	value, err := strconv.ParseFloat(f[key], 64)
	if err != nil {
		panic(err)
	}
	return value
}

// Duration returns a duration, 0 if the line does not have it. It panics on
// other text.
func (f Fields) Duration(key string) time.Duration {
	if !f.Has(key) {
		return 0
	}
	value, err := time.ParseDuration(f[key])
	if err != nil {
		panic(err)
	}
	return value
}
