package main

import (
	"errors"
	"io"
	"syscall"
)

// quietPipe drops output after its reader has gone, as head does when it has
// read enough.
type quietPipe struct {
	to     io.Writer
	closed bool
}

// Write passes bytes on until the reader has gone.
func (q *quietPipe) Write(p []byte) (int, error) {
	if q.closed {
		return len(p), nil
	}
	n, err := q.to.Write(p)
	if errors.Is(err, syscall.EPIPE) {
		q.closed = true
		return len(p), nil
	}
	return n, err
}
