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
	// Key is the key with its table; accounts are counted from 1. It is empty
	// if the file is no TOML.
	Key string
	// Message says what is wrong and names the remedy.
	Message string
}

// Error returns file, line, key and message.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Problems are all errors in a file, in the order of their lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports that the errors are of the kind errors.NotValid.
func (p Problems) Is(target error) bool { return target == errors.NotValid }
