// Package quotaenforcer has the filter that enforces the quotas of client accounts.
//
// A token permits one run of a request. It is taken while the following filters prepare
// the request, and has to be there before the request is sent. Each further attempt at a
// request that may have run takes another token.
package quotaenforcer

import (
	"context"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/quotataker"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

const (
	// maxPrograms is the number of programs that are remembered as begun. A sub-agent's
	// turn has no previous turn and is known by its program only.
	maxPrograms = 8192
	// minUnavailableDelay and maxUnavailableDelay bound the retry delay while no keeper can
	// grant. Callers repeat a request only once or twice, within 1.2 to 5 s, and a handover
	// usually ends sooner.
	minUnavailableDelay = 100 * time.Millisecond
	maxUnavailableDelay = 400 * time.Millisecond
	// minJitter is the shortest range of random retry delays.
	minJitter = 200 * time.Millisecond
)

// Meter counts decisions.
type Meter interface {
	CountQuota(account ident.AccountID, outcome string)
}

// Quotaenforcer enforces quotas.
type Quotaenforcer struct {
	taker *quotataker.Taker
	log   zerolog.Logger
	meter Meter
	// programs has the programs that were served most recently.
	programs *lru.Cache[ident.ProgramID, struct{}]
}

// New returns the filter.
func New(taker *quotataker.Taker, log zerolog.Logger, meter Meter) *Quotaenforcer {
	// The error is that of a size below 1.
	programs, _ := lru.New[ident.ProgramID, struct{}](maxPrograms)
	return &Quotaenforcer{taker: taker, log: log, meter: meter, programs: programs}
}

// Serve takes a token for a request of an account with a quota. Other requests are passed
// on unchanged.
func (q *Quotaenforcer) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	if x.Account == nil || !x.Account.Quota.Limited() {
		return next(ctx, x)
	}
	e := &enforcement{Quotaenforcer: q, x: x, class: q.class(x)}
	e.ticket = q.taker.Take(x.Account, x.Table.Version, e.class)
	if refusal, refused := e.ticket.Refused(); refused {
		return e.refuse(refusal)
	}
	x.Permit = e.permit
	if e.ticket.Granted() {
		err := next(ctx, x)
		e.ticket.Cancel()
		return err
	}
	// A refusal ends the preparation of the request.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticket := e.ticket
	ticket.OnRefused(cancel)
	err := next(ctx, x)
	e.ticket.Cancel()
	if refusal, refused := ticket.Refused(); refused && err != nil && !e.permitted {
		return e.refuse(refusal)
	}
	return err
}

// enforcement is the state of enforcing the quota for one exchange.
type enforcement struct {
	*Quotaenforcer
	x     *traffic.Exchange
	class quotataker.Class
	// ticket is the one for the next run.
	ticket *quotataker.Ticket
	// permitted is true once a run was permitted, and refused holds the error of the first
	// refusal.
	permitted bool
	refused   error
}

// permit waits until one more run is permitted. It takes another token if the one at hand
// has expired, as after a slow answer of the store, or was used by an earlier run.
func (e *enforcement) permit(ctx context.Context) error {
	if e.permitted {
		e.ticket = e.taker.Take(e.x.Account, e.x.Table.Version, quotataker.Further)
	}
	for {
		used, refusal, err := e.ticket.Use(ctx)
		switch {
		case err != nil:
			return err
		case refusal != nil:
			return e.refuse(*refusal)
		case used:
			e.permitted = true
			e.meter.CountQuota(e.x.Account.ID, "granted")
			if p := e.x.Request.Program; p != nil {
				e.programs.Add(p.ID, struct{}{})
			}
			return nil
		}
		e.ticket = e.taker.Take(e.x.Account, e.x.Table.Version, e.class)
	}
}

// class returns the class of a request. Only whole programs are of use to callers, so that
// requests of a program that has begun come before the first turn of a new one.
func (q *Quotaenforcer) class(x *traffic.Exchange) quotataker.Class {
	program := x.Request.Program
	if program == nil {
		return quotataker.First
	}
	isTurn := x.Request.Prompt != nil
	if !isTurn || program.Previous != "" || q.programs.Contains(program.ID) {
		return quotataker.Further
	}
	return quotataker.First
}

// refuse logs a refusal and returns its error. It does so once for an exchange.
func (e *enforcement) refuse(r quotataker.Refusal) error {
	if e.refused != nil {
		return e.refused
	}
	a := e.x.Account
	line := e.log.Warn().Str("request", string(e.x.Request.ID)).Str("account", string(a.ID)).
		Float64("rate_per_s", float64(a.Quota.Rate)).Int("burst", a.Quota.Burst).
		Uint64("routes_version", uint64(e.x.Table.Version)).Bool("first_turn", e.class == quotataker.First).
		Str("part", string(r.Part)).Str("keeper", string(r.Keeper)).Dur("list_age_ms", r.ListAge)
	if r.Unavailable {
		delay := minUnavailableDelay + rand.N(maxUnavailableDelay-minUnavailableDelay)
		line.Str("reason", string(r.Reason)).Dur("retry_after_ms", delay).Msg("quota not checked")
		e.meter.CountQuota(a.ID, "unavailable")
		e.refused = failure.Refusal(failure.QuotaUnavailable, delay, "the quota of account %s can't be checked now; repeat the request", a.ID)
		return e.refused
	}
	delay := r.RetryAfter + rand.N(max(r.RetryAfter, minJitter))
	line.Dur("available_in_ms", r.RetryAfter).Dur("retry_after_ms", delay).Msg("quota exceeded")
	e.meter.CountQuota(a.ID, "refused")
	e.refused = failure.Refusal(failure.QuotaExceeded, delay, "account %s exceeds its quota of %v requests per second; repeat the request later or ask the operator for a higher quota", a.ID, a.Quota.Rate)
	return e.refused
}
