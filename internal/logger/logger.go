// Package logger writes the log of a daemon as JSON lines.
//
// Each line has the fields vm, domain and region. The helpers take only ids, so
// that the content of calls, tokens and keys has no way into the log.
package logger

import (
	"io"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Logger writes log lines. It is safe for concurrent use if its writer is.
type Logger struct{ lines zerolog.Logger }

// Field adds one field to the lines of a Logger. Call, Program, Team, Attempt
// and Upstream make fields.
type Field func(zerolog.Context) zerolog.Context

// New returns a Logger for the VM of the settings, at their level. Times are
// those of the timer service, in UTC.
func New(w io.Writer, timers *timer.Service, s settings.Settings) *Logger {
	stamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Time(zerolog.TimestampFieldName, timers.Now().UTC())
	})
	lines := zerolog.New(w).Level(s.LogLevel).Hook(stamp).With().
		Str("vm", string(s.VM)).
		Str("domain", string(s.Domain)).
		Str("region", string(s.Region)).
		Logger()
	return &Logger{lines: lines}
}

// Lines returns the log for the libraries that write to it themselves.
func (l *Logger) Lines() zerolog.Logger { return l.lines }

// With returns a Logger whose lines have more fields.
func (l *Logger) With(fields ...Field) *Logger {
	context := l.lines.With()
	for _, field := range fields {
		context = field(context)
	}
	return &Logger{lines: context.Logger()}
}

// Call names the call of a line.
func Call(id ident.CallID) Field { return text("call", string(id)) }

// Program names the program of a line.
func Program(id ident.ProgramID) Field { return text("program", string(id)) }

// Team names the team of a line.
func Team(id ident.TeamID) Field { return text("team", string(id)) }

// Upstream names the upstream of a line.
func Upstream(id ident.UpstreamID) Field { return text("upstream", string(id)) }

// Attempt gives the attempt of a line.
func Attempt(n ident.Attempt) Field {
	return func(c zerolog.Context) zerolog.Context { return c.Int("attempt", int(n)) }
}

func text(key, value string) Field {
	return func(c zerolog.Context) zerolog.Context { return c.Str(key, value) }
}

// Debug writes a line that is off by default.
func (l *Logger) Debug(message string) { l.lines.Debug().Msg(message) }

// Info writes a line about a normal event.
func (l *Logger) Info(message string) { l.lines.Info().Msg(message) }

// Warn writes a line about an error from which the daemon recovers by itself.
func (l *Logger) Warn(message string, err error) { describe(l.lines.Warn(), err).Msg(message) }

// Error writes a line about an error that an operator must deal with.
func (l *Logger) Error(message string, err error) { describe(l.lines.Error(), err).Msg(message) }

// describe adds the kind of an error and, unless the error is a failure of a
// request, its text. The text of a failure may quote the content of a call.
func describe(e *zerolog.Event, err error) *zerolog.Event {
	var known *failure.Error
	switch {
	case err == nil:
		return e
	case errors.As(err, &known):
		return e.Str("kind", string(known.Kind)).Bool("not_run", known.NotRun)
	default:
		return e.Str("error", err.Error())
	}
}
