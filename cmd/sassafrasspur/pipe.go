package main

import (
	"errors"
	"io"
	"syscall"
)

// brokenPipeWriter discards output after the reader of a pipe has closed it, as
// head does after the last line that it prints.
type brokenPipeWriter struct {
	out    io.Writer
	closed bool
}

// Write writes to out until the reader has closed the pipe.
func (w *brokenPipeWriter) Write(p []byte) (int, error) {
	if w.closed {
		return len(p), nil
	}
	n, err := w.out.Write(p)
	if errors.Is(err, syscall.EPIPE) {
		w.closed = true
		return len(p), nil
	}
	return n, err
}
