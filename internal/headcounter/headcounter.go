// Package headcounter measures the header section of an HTTP/1 request while it is
// received.
//
// net/http parses a header section before a handler runs and bounds its bytes only. Each
// line takes about a hundred bytes of memory, however short it is.
package headcounter

import "bytes"

// Headcounter counts the bytes and lines of one header section. The zero value is ready
// to use.
type Headcounter struct {
	Bytes int
	Lines int
	// Ended is set at the empty line that follows the header section.
	Ended bool

	// lineBytes is the length of the current line, and first its first byte.
	lineBytes int
	first     byte
	// started is set after the first line that is not empty. Empty lines before it do
	// not end the section.
	started bool
}

// Count counts the next bytes. What follows the end of the header section is not counted.
func (h *Headcounter) Count(p []byte) {
	for len(p) > 0 && !h.Ended {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		h.Bytes += len(line)
		if h.lineBytes == 0 && len(line) > 0 {
			h.first = line[0]
		}
		h.lineBytes += len(line)
		p = rest
		if !complete {
			return
		}
		h.Bytes++
		h.Lines++
		empty := h.lineBytes == 0 || h.lineBytes == 1 && h.first == '\r'
		h.Ended = h.started && empty
		h.started = h.started || !empty
		h.lineBytes = 0
	}
}
