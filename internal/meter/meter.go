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
	// maxPools bounds the number of pools with labels of their own. Each has 7 series.
	maxPools        = 16
	maxShedAccounts = 32
	// maxOutcomes leaves room for all kinds of package failure, of which there
	// are 23.
	maxOutcomes = 40
)

// The buckets are fixed, unlike those of the library's own histograms, so that
// the number of series is known. 0.33 s is the latency limit for the first token;
// its bucket gives the share of calls within the limit.
var (
	secondsBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 4, 7, 15, 30, 60, 120, 300, 600, 1800, 3600}
	// The control goroutine handles a message within microseconds.
	controlLoopBuckets = []float64{0.000001, 0.000003, 0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1}
	tokenBuckets       = []float64{0, 100, 1000, 4000, 16000, 64000, 128000, 256000, 390000}
)

// Meter records metrics. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set

	mu         sync.Mutex
	maxTeams   int
	maxClasses int
	teams      labelLimiter
	classes    labelLimiter
	outcomes   labelLimiter
	accounts   accountLabeler
	pools      labelLimiter
	series     map[seriesKey]*series
	quotas     quotaCounters
	// shedAccounts has the accounts of requests that were refused for load.
	shedAccounts labelLimiter

	crossedAnswers *metrics.Counter
	controlLoop    *metrics.PrometheusHistogram
}

type seriesKey struct{ team, class string }

// series holds the metrics of one team and class.
type series struct {
	program, call, queueing, firstToken, recomputed *metrics.PrometheusHistogram
	outcomes                                        map[string]*metrics.Counter
}

// Option configures a Meter.
type Option func(*Meter)

// WithMaxTeams sets the maximum number of teams with labels of their own; the
// default is 32.
func WithMaxTeams(n int) Option { return func(m *Meter) { m.maxTeams = n } }

// WithMaxClasses sets the maximum number of classes with labels of their own; the
// default is 8.
func WithMaxClasses(n int) Option { return func(m *Meter) { m.maxClasses = n } }

// New returns a Meter whose metrics are all zero.
func New(options ...Option) *Meter {
	m := &Meter{set: metrics.NewSet(), quotas: newQuotaCounters(), series: map[seriesKey]*series{}, maxTeams: defaultMaxTeams, maxClasses: defaultMaxClasses}
	for _, option := range options {
		option(m)
	}
	m.teams, m.classes, m.outcomes = newLabelLimiter(m.maxTeams), newLabelLimiter(m.maxClasses), newLabelLimiter(maxOutcomes)
	m.accounts = newAccountLabeler()
	m.pools = newLabelLimiter(maxPools)
	m.shedAccounts = newLabelLimiter(maxShedAccounts)
	m.crossedAnswers = m.set.NewCounter("sassafrasspur_crossed_answers_total")
	m.controlLoop = m.set.NewPrometheusHistogramExt("sassafrasspur_control_loop_seconds", controlLoopBuckets)
	return m
}

// ObserveCall records a call that ended. The duration is measured from arrival to
// end. If firstToken is not positive, there was no token and it is not observed.
func (m *Meter) ObserveCall(team ident.TeamID, class ident.Class, outcome Outcome, queueing, firstToken, duration time.Duration) {
	s, counter := m.seriesAndCounter(team, class, Label(outcome))
	counter.Inc()
	s.queueing.Update(queueing.Seconds())
	s.call.Update(duration.Seconds())
	if firstToken > 0 {
		s.firstToken.Update(firstToken.Seconds())
	}
}

// ObserveProgram records the latency of a program that ended.
func (m *Meter) ObserveProgram(team ident.TeamID, class ident.Class, latency time.Duration) {
	m.seriesFor(team, class).program.Update(latency.Seconds())
}

// ObserveRecomputed records the tokens of a call that an engine recomputed
// because their prefix was not cached.
func (m *Meter) ObserveRecomputed(team ident.TeamID, class ident.Class, tokens unit.Tokens) {
	m.seriesFor(team, class).recomputed.Update(float64(tokens))
}

// CountCrossedAnswer counts a message that was dropped because it belongs to
// another call or attempt.
func (m *Meter) CountCrossedAnswer() { m.crossedAnswers.Inc() }

// ObserveControlLoop records the time that the control goroutine took to handle
// one message.
func (m *Meter) ObserveControlLoop(latency time.Duration) { m.controlLoop.Update(latency.Seconds()) }

// WritePrometheus writes all metrics in the Prometheus text format. It ignores
// errors of the writer.
func (m *Meter) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

// seriesFor returns the series of a team and class.
func (m *Meter) seriesFor(team ident.TeamID, class ident.Class) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, _ := m.seriesLocked(team, class)
	return s
}

// seriesAndCounter returns the series of a team and class, and its counter of an
// outcome.
func (m *Meter) seriesAndCounter(team ident.TeamID, class ident.Class, outcome string) (*series, *metrics.Counter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, key := m.seriesLocked(team, class)
	outcome = m.outcomes.label(outcome)
	counter, ok := s.outcomes[outcome]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_calls_total{team="%s",class="%s",outcome="%s"}`, key.team, key.class, outcome))
		s.outcomes[outcome] = counter
	}
	return s, counter
}

func (m *Meter) seriesLocked(team ident.TeamID, class ident.Class) (*series, seriesKey) {
	key := seriesKey{team: m.teams.label(string(team)), class: m.classes.label(string(class))}
	s, ok := m.series[key]
	if !ok {
		histogram := func(name string, buckets []float64) *metrics.PrometheusHistogram {
			return m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_%s{team="%s",class="%s"}`, name, key.team, key.class), buckets)
		}
		s = &series{
			program:    histogram("program_seconds", secondsBuckets),
			call:       histogram("call_seconds", secondsBuckets),
			queueing:   histogram("queueing_seconds", secondsBuckets),
			firstToken: histogram("first_token_seconds", secondsBuckets),
			recomputed: histogram("recomputed_tokens", tokenBuckets),
			outcomes:   map[string]*metrics.Counter{},
		}
		m.series[key] = s
	}
	return s, key
}
