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

// maxID bounds the ids in a line in bytes. A UUID has 36.
const maxID = 64

// Logger adds fields to its lines. Its methods return a logger with a further
// field and leave the receiver unchanged. It may be used by several goroutines.
type Logger struct {
	log    zerolog.Logger
	timers *timer.Service
	level  zerolog.Level
}

// Option changes how New builds a Logger.
type Option func(*Logger)

// WithLevel sets the lowest level that is written; info without it.
func WithLevel(level zerolog.Level) Option { return func(l *Logger) { l.level = level } }

// WithTimer sets the timer service that dates the lines.
func WithTimer(timers *timer.Service) Option { return func(l *Logger) { l.timers = timers } }

// New returns a logger that writes to w, one line in each write.
func New(w io.Writer, vm ident.VMID, domain ident.Domain, region ident.Region, options ...Option) *Logger {
	l := &Logger{timers: timer.New(), level: zerolog.InfoLevel}
	for _, option := range options {
		option(l)
	}
	timers := l.timers
	date := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, timers.Now().UTC().Format(time.RFC3339Nano))
	})
	l.log = zerolog.New(zerolog.SyncWriter(w)).Level(l.level).Hook(date).With().
		Str("vm", string(vm)).Str("domain", string(domain)).Str("region", string(region)).Logger()
	return l
}

// Call adds a call id.
func (l *Logger) Call(id ident.CallID) *Logger { return l.text("call", string(id)) }

// Program adds a program id.
func (l *Logger) Program(id ident.ProgramID) *Logger { return l.text("program", string(id)) }

// Team adds a team.
func (l *Logger) Team(id ident.TeamID) *Logger { return l.text("team", string(id)) }

// Attempt adds the attempt of a call.
func (l *Logger) Attempt(n ident.Attempt) *Logger { return l.Number("attempt", int64(n)) }

// Upstream adds an upstream.
func (l *Logger) Upstream(id ident.UpstreamID) *Logger { return l.text("upstream", string(id)) }

// Peer adds another entry VM.
func (l *Logger) Peer(id ident.VMID) *Logger { return l.text("peer", string(id)) }

// Plan adds a plan.
func (l *Logger) Plan(id ident.PlanID) *Logger { return l.text("plan", string(id)) }

// Kind adds how a call ended, under the key that Failure uses. The kind is a
// fixed text.
func (l *Logger) Kind(kind string) *Logger { return l.text("kind", kind) }

// Failure adds the kind of an error and whether the call certainly did not run.
// The message is left out, because it may quote an upstream's answer. It adds
// nothing for a nil error.
func (l *Logger) Failure(err error) *Logger {
	known := failure.From(err)
	if known == nil {
		return l
	}
	return l.with(l.log.With().Str("kind", string(known.Kind)).Bool("not_run", known.NotRun).Logger())
}

// Number adds a number. The key is a fixed text.
func (l *Logger) Number(key string, n int64) *Logger {
	return l.with(l.log.With().Int64(key, n).Logger())
}

// Duration adds a duration in seconds; "_seconds" is appended to the key.
func (l *Logger) Duration(key string, d time.Duration) *Logger {
	return l.with(l.log.With().Float64(key+"_seconds", d.Seconds()).Logger())
}

// Started writes the line that says that the addresses are bound, whatever the
// lowest level is: it is the first line, and scripts read the addresses from it.
// Addresses that are not served are empty.
func (l *Logger) Started(callers, requests string) {
	l.log.Log().Int("pid", os.Getpid()).Str("caller_address", callers).Str("request_address", requests).Msg("started")
}

// Debug writes a line. The message is a fixed text.
func (l *Logger) Debug(message string) { l.log.Debug().Msg(message) }

// Info writes a line. The message is a fixed text.
func (l *Logger) Info(message string) { l.log.Info().Msg(message) }

// Warn writes a line. The message is a fixed text.
func (l *Logger) Warn(message string) { l.log.Warn().Msg(message) }

// Error writes a line. The message is a fixed text.
func (l *Logger) Error(message string) { l.log.Error().Msg(message) }

// Zerolog returns the underlying logger with the fields so far, for packages
// that take one. They must not add caller content either.
func (l *Logger) Zerolog() zerolog.Logger { return l.log }

func (l *Logger) text(key, value string) *Logger {
	if len(value) > maxID {
		value = strings.ToValidUTF8(value[:maxID], "") + "..."
	}
	return l.with(l.log.With().Str(key, value).Logger())
}

func (l *Logger) with(log zerolog.Logger) *Logger {
	next := *l
	next.log = log
	return &next
}
