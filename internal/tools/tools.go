//go:build tools

// Package tools imports the libraries that go.mod must keep, so that go mod tidy
// does not remove them.
package tools

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/juju/errors"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tmaxmax/go-sse"
	_ "goa.design/goa/v3/cmd/goa"
	_ "goa.design/goa/v3/dsl"
	_ "goa.design/goa/v3/http"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "golang.org/x/tools/txtar"
	_ "pgregory.net/rapid"
)
