package meter

import (
	"strings"
	"unicode"
)

const (
	other = "other"
	// maxLabel bounds a label in bytes.
	maxLabel = 64
)

// bound maps names to labels. It gives out a fixed number of labels.
type bound struct {
	limit  int
	labels map[string]string
}

func newBound(limit int) bound {
	return bound{limit: limit, labels: map[string]string{}}
}

func (b *bound) label(name string) string {
	if known, ok := b.labels[name]; ok {
		return known
	}
	if len(b.labels) >= b.limit {
		return other
	}
	// The library panics on a name with a line break, and reads a backslash
	// before a quote as an escape even if it is escaped itself.
	label := strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, name)
	if len(label) > maxLabel {
		label = strings.ToValidUTF8(label[:maxLabel], "")
	}
	b.labels[name] = label
	return label
}
