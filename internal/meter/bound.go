package meter

import (
	"strings"
	"unicode"
)

const (
	otherLabel = "other"
	// maxLabelBytes limits the length of a label.
	maxLabelBytes = 64
)

// labelLimiter maps names to labels. After maxLabels distinct names, all further
// names share the label "other".
type labelLimiter struct {
	maxLabels int
	labels    map[string]string
}

func newLabelLimiter(maxLabels int) labelLimiter {
	return labelLimiter{maxLabels: maxLabels, labels: map[string]string{}}
}

func (l *labelLimiter) label(name string) string {
	if existing, ok := l.labels[name]; ok {
		return existing
	}
	if len(l.labels) >= l.maxLabels {
		return otherLabel
	}
	// The metrics library panics on a name with a line break, and treats a
	// backslash before a quote as an escape even if it is escaped itself.
	label := strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, name)
	if len(label) > maxLabelBytes {
		label = strings.ToValidUTF8(label[:maxLabelBytes], "")
	}
	l.labels[name] = label
	return label
}
