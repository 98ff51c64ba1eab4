package loader

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// Problem is one error in a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Key is the key with its table; accounts are numbered from 1. It is empty if
	// the file is not valid TOML.
	Key string
	// Message has the cause and the remedy.
	Message string
}

// Error returns the file, line, key and message.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Problems are all errors of a file, ordered by line.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is errors.NotValid.
func (p Problems) Is(target error) bool { return target == errors.NotValid }
