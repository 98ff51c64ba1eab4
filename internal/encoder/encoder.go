// Package encoder has the JSON form of everything that the platform stores.
//
// Decoding is strict: unknown keys, unknown tags and trailing bytes are errors,
// since state that is only partly understood must not be served.
package encoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// replacement is what encoding/json writes for bytes that are not UTF-8. A
// replacement character that is part of the text is written as itself.
var replacement = []byte(`\ufffd`)

// marshal refuses text that JSON can't hold, because a history must be read
// back as it was written.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	encoded := bytes.TrimSuffix(b.Bytes(), []byte("\n"))
	if replaced(encoded) {
		return nil, errors.NotValidf("text that is not UTF-8")
	}
	return encoded, nil
}

// replaced reports whether encoded has the escape of a replacement character,
// as opposed to an escaped backslash followed by the same letters.
func replaced(encoded []byte) bool {
	for at := 0; ; {
		i := bytes.Index(encoded[at:], replacement)
		if i < 0 {
			return false
		}
		at += i
		backslashes := 0
		for at-1-backslashes >= 0 && encoded[at-1-backslashes] == '\\' {
			backslashes++
		}
		if backslashes%2 == 0 {
			return true
		}
		at++
	}
}

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
		return errors.NotValidf("data after the value")
	}
	return nil
}
