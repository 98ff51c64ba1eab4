package logger

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// maxIDBytes limits the length of an id in a line. A UUID has 36 bytes.
const maxIDBytes = 64

// Logger writes log lines with a set of fields. The methods that add a field return
// a new Logger and leave the receiver unchanged. It is safe for concurrent use.
type Logger struct {
	log    zerolog.Logger
	timers *timer.Service
	level  zerolog.Level
}

// Addresses has the bound addresses of a node. One that is not served is empty.
type Addresses struct{ Callers, Requests, Readiness, Directory, Metrics, Peers string }

// Option configures a Logger.
type Option func(*Logger)

// WithLevel sets the minimum level of the lines; the default is info.
func WithLevel(level zerolog.Level) Option { return func(l *Logger) { l.level = level } }

// WithTimer sets the timer service that provides the timestamps.
func WithTimer(timers *timer.Service) Option { return func(l *Logger) { l.timers = timers } }

// New returns a Logger that writes to w, with one call of Write for each line.
func New(w io.Writer, vm ident.VMID, domain ident.Domain, region ident.Region, options ...Option) *Logger {
	l := &Logger{timers: timer.New(), level: zerolog.InfoLevel}
	for _, option := range options {
		option(l)
	}
	timers := l.timers
	timestamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, timers.Now().UTC().Format(time.RFC3339Nano))
	})
	l.log = zerolog.New(zerolog.SyncWriter(w)).Level(l.level).Hook(timestamp).With().
		Str("vm", string(vm)).Str("domain", string(domain)).Str("region", string(region)).Logger()
	return l
}

// Call adds the id of a call.
func (l *Logger) Call(id ident.CallID) *Logger { return l.withText("call", string(id)) }

// Program adds the id of a program.
func (l *Logger) Program(id ident.ProgramID) *Logger { return l.withText("program", string(id)) }

// Team adds the id of a team.
func (l *Logger) Team(id ident.TeamID) *Logger { return l.withText("team", string(id)) }

// Attempt adds the number of an attempt of a call.
func (l *Logger) Attempt(n ident.Attempt) *Logger { return l.Number("attempt", int64(n)) }

// Upstream adds the id of an upstream.
func (l *Logger) Upstream(id ident.UpstreamID) *Logger { return l.withText("upstream", string(id)) }

// Peer adds the id of another entry VM.
func (l *Logger) Peer(id ident.VMID) *Logger { return l.withText("peer", string(id)) }

// Plan adds the id of a plan.
func (l *Logger) Plan(id ident.PlanID) *Logger { return l.withText("plan", string(id)) }

// Kind adds the outcome of a call, under the same key as Failure. The kind must be
// a constant string.
func (l *Logger) Kind(kind string) *Logger { return l.withText("kind", kind) }

// Failure adds the kind of an error and whether it guarantees that the call did not
// run. It omits the message, which may quote an upstream's answer. It adds nothing
// if err is nil.
func (l *Logger) Failure(err error) *Logger {
	classified := failure.From(err)
	if classified == nil {
		return l
	}
	return l.withLogger(l.log.With().Str("kind", string(classified.Kind)).Bool("not_run", classified.NotRun).Logger())
}

// Number adds a number. The key must be a constant string.
func (l *Logger) Number(key string, n int64) *Logger {
	return l.withLogger(l.log.With().Int64(key, n).Logger())
}

// Duration adds a duration in seconds. It appends "_seconds" to the key.
func (l *Logger) Duration(key string, d time.Duration) *Logger {
	return l.withLogger(l.log.With().Float64(key+"_seconds", d.Seconds()).Logger())
}

// Started writes the line that reports the bound addresses, regardless of the
// minimum level: it is the first line, and scripts read the addresses from it. An
// address that is not served is empty.
func (l *Logger) Started(bound Addresses) {
	l.log.Log().Int("pid", os.Getpid()).
		Str("caller_address", bound.Callers).Str("request_address", bound.Requests).
		Str("readiness_address", bound.Readiness).Str("directory_address", bound.Directory).
		Str("metrics_address", bound.Metrics).Str("peer_address", bound.Peers).Msg("started")
}

// Debug writes a line at debug level. The message must be a constant string.
func (l *Logger) Debug(message string) { l.log.Debug().Msg(message) }

// Info writes a line at info level. The message must be a constant string.
func (l *Logger) Info(message string) { l.log.Info().Msg(message) }

// Warn writes a line at warn level. The message must be a constant string.
func (l *Logger) Warn(message string) { l.log.Warn().Msg(message) }

// Error writes a line at error level. The message must be a constant string.
func (l *Logger) Error(message string) { l.log.Error().Msg(message) }

// Zerolog returns the underlying logger with the fields added so far, for packages
// that take a zerolog.Logger. They must not log caller content either.
func (l *Logger) Zerolog() zerolog.Logger { return l.log }

func (l *Logger) withText(key, value string) *Logger {
	if len(value) > maxIDBytes {
		value = strings.ToValidUTF8(value[:maxIDBytes], "") + "..."
	}
	return l.withLogger(l.log.With().Str(key, value).Logger())
}

func (l *Logger) withLogger(log zerolog.Logger) *Logger {
	next := *l
	next.log = log
	return &next
}
