// Package meter counts and measures what a daemon does.
//
// Series are labelled by team and class. Their number is bounded: after the
// first values of a label, further values are counted under "other".
package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Other is the label value of all values beyond the bound.
const Other = "other"

// Result is the outcome of a call as it is counted: "completed", "failed",
// "unknown" or the kind of a refusal.
type Result string

// Meter has the metrics of one daemon. It is safe for concurrent use.
type Meter struct {
	set    *metrics.Set
	values int

	mu   sync.RWMutex
	seen map[string]map[string]struct{}
}

// Option changes how New builds a Meter.
type Option func(*Meter)

// WithValues bounds the number of values of a label; the default is 32.
func WithValues(count int) Option {
	return func(m *Meter) { m.values = count }
}

// New returns a Meter with no series.
func New(options ...Option) *Meter {
	m := &Meter{set: metrics.NewSet(), values: 32, seen: map[string]map[string]struct{}{}}
	for _, option := range options {
		option(m)
	}
	return m
}

// ProgramEnded measures the time from the opening of a program to its end.
func (m *Meter) ProgramEnded(team ident.TeamID, class ident.Class, latency time.Duration) {
	m.seconds("program_latency_seconds", team, class, latency)
}

// FirstToken measures the time from the arrival of a call to its first token.
func (m *Meter) FirstToken(team ident.TeamID, class ident.Class, latency time.Duration) {
	m.seconds("first_token_seconds", team, class, latency)
}

// Queued measures the time that a call waited for an upstream.
func (m *Meter) Queued(team ident.TeamID, class ident.Class, wait time.Duration) {
	m.seconds("queueing_seconds", team, class, wait)
}

// Wasted measures the tokens that a call computed again.
func (m *Meter) Wasted(team ident.TeamID, class ident.Class, tokens unit.Tokens) {
	m.histogram("wasted_tokens", team, class).Update(float64(tokens))
}

// CallEnded counts a call by its outcome.
func (m *Meter) CallEnded(team ident.TeamID, class ident.Class, result Result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_calls_total{team=%q,class=%q,result=%q}`,
		m.bounded("team", string(team)), m.bounded("class", string(class)), m.bounded("result", string(result)))).Inc()
}

// PlatformRead counts reads of a service of the platform.
func (m *Meter) PlatformRead(service string, count int) {
	m.platform("reads", service, count)
}

// PlatformWritten counts writes to a service of the platform.
func (m *Meter) PlatformWritten(service string, count int) {
	m.platform("writes", service, count)
}

// WritePrometheus writes all series in the text format of Prometheus.
func (m *Meter) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Meter) platform(what, service string, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_platform_%s_total{service=%q}`, what, m.bounded("service", service))).Add(count)
}

func (m *Meter) seconds(name string, team ident.TeamID, class ident.Class, d time.Duration) {
	m.histogram(name, team, class).Update(d.Seconds())
}

func (m *Meter) histogram(name string, team ident.TeamID, class ident.Class) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`sassafrasspur_%s{team=%q,class=%q}`,
		name, m.bounded("team", string(team)), m.bounded("class", string(class))))
}

// bounded returns a value that may be used for a label: the value itself or
// Other. Values that are not plain ASCII would need escapes that %q and the
// text format write differently; they count as Other.
func (m *Meter) bounded(label, value string) string {
	if !plain(value) {
		return Other
	}
	m.mu.RLock()
	_, known := m.seen[label][value]
	full := len(m.seen[label]) >= m.values
	m.mu.RUnlock()
	switch {
	case known:
		return value
	case full:
		return Other
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[label] == nil {
		m.seen[label] = map[string]struct{}{}
	}
	if _, known := m.seen[label][value]; !known && len(m.seen[label]) >= m.values {
		return Other
	}
	m.seen[label][value] = struct{}{}
	return value
}

func plain(value string) bool {
	if value == "" || len(value) > 64 {
		return false
	}
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '{' || c == '}' {
			return false
		}
	}
	return true
}
