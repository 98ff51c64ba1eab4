// Package encoder encodes and decodes records as JSON for the platform's store.
//
// Decoding is strict: unknown keys, unknown record types and trailing data are
// errors, because a process must not serve state that it understands only in
// part.
package encoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// replacementEscape is what encoding/json writes for bytes that are not valid
// UTF-8. A replacement character that is part of the text is not escaped.
var replacementEscape = []byte(`\ufffd`)

// marshal encodes v as JSON. It returns an error for text that is not valid UTF-8,
// because JSON can't represent it and a history must be read back unchanged.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	encoded := bytes.TrimSuffix(b.Bytes(), []byte("\n"))
	if hasReplacementEscape(encoded) {
		return nil, errors.NotValidf("UTF-8 encoding of the text")
	}
	return encoded, nil
}

// hasReplacementEscape reports whether encoded contains the escape of a
// replacement character. An escaped backslash followed by the same letters does
// not count.
func hasReplacementEscape(encoded []byte) bool {
	for offset := 0; ; {
		i := bytes.Index(encoded[offset:], replacementEscape)
		if i < 0 {
			return false
		}
		offset += i
		backslashes := 0
		for offset-1-backslashes >= 0 && encoded[offset-1-backslashes] == '\\' {
			backslashes++
		}
		if backslashes%2 == 0 {
			return true
		}
		offset++
	}
}

// unmarshal decodes a single JSON value that is not null, and rejects unknown
// keys and trailing data.
func unmarshal(data []byte, v any) error {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return errors.NotValidf("null")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Trace(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.NotValidf("trailing data after the value")
	}
	return nil
}
