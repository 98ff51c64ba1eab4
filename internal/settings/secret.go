package settings

import "fmt"

const redacted = "[redacted]"

// Secret is a token or a key. It is formatted and marshalled as a fixed text,
// so that printing the settings shows none.
type Secret string

// Reveal returns the text of the secret.
func (s Secret) Reveal() string { return string(s) }

// Format writes a fixed text for every verb.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = fmt.Fprint(state, redacted) }

// MarshalText returns a fixed text, also for JSON and TOML.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
