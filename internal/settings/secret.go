package settings

import "fmt"

const redacted = "[redacted]"

// Secret is a token or a key. It is formatted and marshalled as a placeholder, so
// that logs and dumps of the settings do not reveal it.
type Secret string

// Reveal returns the secret in clear text.
func (s Secret) Reveal() string { return string(s) }

// Format writes the placeholder for every verb.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = fmt.Fprint(state, redacted) }

// MarshalText returns the placeholder. It is also used for JSON and TOML.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
