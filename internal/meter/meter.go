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

const (
	defaultMaxTeams   = 32
	defaultMaxClasses = 8
	// maxOutcomes has room for all kinds of package failure, of which there
	// were 20.
	maxOutcomes = 40
)

// The buckets are fixed, unlike those of the library's own histograms, so that
// the number of series is known. 0.33 s is the limit for the first token; the
// share of calls within it can be read from its bucket.
var (
	secondBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 4, 7, 15, 30, 60, 120, 300, 600, 1800, 3600}
	// One message takes the control goroutine microseconds.
	loopBounds  = []float64{0.000001, 0.000003, 0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1}
	tokenBounds = []float64{0, 100, 1000, 4000, 16000, 64000, 128000, 256000, 390000}
)

// Meter counts and measures. It may be used by several goroutines.
type Meter struct {
	set *metrics.Set

	mu         sync.Mutex
	maxTeams   int
	maxClasses int
	teams      bound
	classes    bound
	outcomes   bound
	series     map[labels]*series

	crossedAnswers *metrics.Counter
	controlLoop    *metrics.PrometheusHistogram
}

type labels struct{ team, class string }

// series has the metrics of one team and class.
type series struct {
	program, call, queueing, firstToken, recomputed *metrics.PrometheusHistogram
	outcomes                                        map[string]*metrics.Counter
}

// Option changes how New builds a Meter.
type Option func(*Meter)

// WithMaxTeams sets how many teams have labels of their own.
func WithMaxTeams(n int) Option { return func(m *Meter) { m.maxTeams = n } }

// WithMaxClasses sets how many classes have labels of their own.
func WithMaxClasses(n int) Option { return func(m *Meter) { m.maxClasses = n } }

// New returns a meter whose metrics are all zero.
func New(options ...Option) *Meter {
	m := &Meter{set: metrics.NewSet(), series: map[labels]*series{}, maxTeams: defaultMaxTeams, maxClasses: defaultMaxClasses}
	for _, option := range options {
		option(m)
	}
	m.teams, m.classes, m.outcomes = newBound(m.maxTeams), newBound(m.maxClasses), newBound(maxOutcomes)
	m.crossedAnswers = m.set.NewCounter("sassafrasspur_crossed_answers_total")
	m.controlLoop = m.set.NewPrometheusHistogramExt("sassafrasspur_control_loop_seconds", loopBounds)
	return m
}

// ObserveCall counts a call that ended. The duration is from arrival to end. A
// firstToken of 0 or less says that there was no token; it is not observed.
func (m *Meter) ObserveCall(team ident.TeamID, class ident.Class, outcome Outcome, queueing, firstToken, duration time.Duration) {
	s, counter := m.ofOutcome(team, class, Label(outcome))
	counter.Inc()
	s.queueing.Update(queueing.Seconds())
	s.call.Update(duration.Seconds())
	if firstToken > 0 {
		s.firstToken.Update(firstToken.Seconds())
	}
}

// ObserveProgram observes the latency of a program that ended.
func (m *Meter) ObserveProgram(team ident.TeamID, class ident.Class, latency time.Duration) {
	m.of(team, class).program.Update(latency.Seconds())
}

// ObserveRecomputed observes the tokens of a call that an engine computed again
// because their prefix was not cached.
func (m *Meter) ObserveRecomputed(team ident.TeamID, class ident.Class, tokens unit.Tokens) {
	m.of(team, class).recomputed.Update(float64(tokens))
}

// CountCrossedAnswer counts a message that was dropped because it belongs to
// another call or attempt.
func (m *Meter) CountCrossedAnswer() { m.crossedAnswers.Inc() }

// ObserveControlLoop observes the time that the control goroutine took for one
// message.
func (m *Meter) ObserveControlLoop(latency time.Duration) { m.controlLoop.Update(latency.Seconds()) }

// WritePrometheus writes all metrics in Prometheus text format. Errors of the
// writer are ignored.
func (m *Meter) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

// of returns the series of a team and class.
func (m *Meter) of(team ident.TeamID, class ident.Class) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, _ := m.locked(team, class)
	return s
}

// ofOutcome returns the series of a team and class and its counter of an outcome.
func (m *Meter) ofOutcome(team ident.TeamID, class ident.Class, outcome string) (*series, *metrics.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, key := m.locked(team, class)
	outcome = m.outcomes.label(outcome)
	counter, ok := s.outcomes[outcome]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_calls_total{team="%s",class="%s",outcome="%s"}`, key.team, key.class, outcome))
		s.outcomes[outcome] = counter
	}
	return s, counter
}

func (m *Meter) locked(team ident.TeamID, class ident.Class) (*series, labels) {
	key := labels{team: m.teams.label(string(team)), class: m.classes.label(string(class))}
	s, ok := m.series[key]
	if !ok {
		histogram := func(name string, bounds []float64) *metrics.PrometheusHistogram {
			return m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_%s{team="%s",class="%s"}`, name, key.team, key.class), bounds)
		}
		s = &series{
			program:    histogram("program_seconds", secondBounds),
			call:       histogram("call_seconds", secondBounds),
			queueing:   histogram("queueing_seconds", secondBounds),
			firstToken: histogram("first_token_seconds", secondBounds),
			recomputed: histogram("recomputed_tokens", tokenBounds),
			outcomes:   map[string]*metrics.Counter{},
		}
		m.series[key] = s
	}
	return s, key
}
