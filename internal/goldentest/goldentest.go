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

// Check runs decide on the input lines of all tables that match a file pattern. It
// returns an error for the first line whose decision differs, or if no table
// matches the pattern.
func Check(pattern string, decide func(line string) string) error {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no golden table matches %q", pattern)
	}
	for _, path := range paths {
		if err := checkFile(path, decide); err != nil {
			return err
		}
	}
	return nil
}

func checkFile(path string, decide func(line string) string) error {
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
	inputLines, gotLines, wantLines := strings.Split(input, "\n"), strings.Split(got.String(), "\n"), strings.Split(want, "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) || line != wantLines[i] {
			return fmt.Errorf("%s: input line %d: %q: decision is %q; run with -update and review the difference",
				path, i+1, inputLines[i], line)
		}
	}
	if len(wantLines) != len(gotLines) {
		return fmt.Errorf("%s: %d lines of decisions, want %d", path, len(wantLines), len(gotLines))
	}
	return nil
}

// Fields holds the key=value words of an input line.
type Fields map[string]string

// Parse splits a line into its fields. A word without "=" has the value "true".
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

// Has reports whether the line has a non-empty value for a key.
func (f Fields) Has(key string) bool { return f[key] != "" }

// Int returns the value of a key as an integer, truncating fractions, or 0 if the
// line does not have the key. It panics if the value is not a number.
func (f Fields) Int(key string) int { return int(f.Float(key)) }

// Float returns the value of a key as a number, or 0 if the line does not have the
// key. It panics if the value is not a number.
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

// Duration returns the value of a key as a duration, or 0 if the line does not have
// the key. It panics if the value is not a duration.
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
