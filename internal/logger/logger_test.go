package logger_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

func TestLogger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logger")
}

var _ = Describe("Logger", func() {
	// Guards against lines without the place of the VM, and against the content
	// of a call in the log.
	It("writes fields and no content", func() {
		var lines strings.Builder
		timers := timer.New(timer.WithManual(timer.NewManual(time.Unix(0, 0))))
		l := logger.New(&lines, timers, settings.Settings{VM: "v", Domain: "d", Region: "r", LogLevel: zerolog.InfoLevel})
		l.Debug("hidden")
		l.With(logger.Call("c"), logger.Program("p"), logger.Team("t"), logger.Attempt(2)).
			Warn("dispatch failed", failure.New(failure.UpstreamFailed, "answer: private text"))
		Expect(lines.String()).To(Equal(`{"level":"warn","vm":"v","domain":"d","region":"r","call":"c","program":"p",` +
			`"team":"t","attempt":2,"kind":"upstream_failed","not_run":false,"time":"1970-01-01T00:00:00Z","message":"dispatch failed"}` + "\n"))
	})
})
