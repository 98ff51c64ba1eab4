package forwarder_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/crashcounter"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/quarantiner"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/storeworker"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	poisonPlayTime = 24 * time.Second
	// poisonRestart is the time at which VMs are restarted.
	poisonRestart = 12 * time.Second
	// restartTime is the time for which an upstream that ended refuses connections.
	restartTime = 3 * time.Second
	// poisonWork is the time after which a poisonous request ends its upstream.
	poisonWork = 80 * time.Millisecond
	// poisonLimit, poisonRetries and poisonGrace state how often a request that
	// ended three upstreams may reach further ones later. The values are the users'.
	poisonLimit   = 3
	poisonRetries = 3
	poisonGrace   = 4 * time.Second
	// crashTime is the time at which several upstreams end together.
	crashTime = 8 * time.Second
	// poisonCopies is the number of times that a caller sends a request that fails,
	// with poisonPause between two of them.
	poisonCopies = 6
	poisonPause  = 300 * time.Millisecond
	// streamEvents is the number of events of a whole answer, and eventPause the time
	// before each of them.
	streamEvents = 6
	eventPause   = 30 * time.Millisecond
)

// soundAccount is the account for which all requests are sound, and poisonAccount that for
// which those with the same bodies are poisonous.
const soundAccount, poisonAccount ident.AccountID = "sound", "poison"

// poisonFleet is a set of upstreams that end when they run a poisonous request.
type poisonFleet struct {
	start time.Time
	// timesOut is true if upstreams answer a part of the poisonous requests with a
	// timeout, before they begin to run them.
	timesOut bool
	// deadlyEvent is the event with which a poisonous request ends its upstream, 0 if it
	// does so before its answer. Answers are streams if it is set.
	deadlyEvent int
	// curedAt is the time from which poisonous requests are sound, 0 if they stay so.
	// served is true once one of them was served.
	curedAt time.Duration
	served  atomic.Bool

	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*mortalUpstream
	// ended has the times at which a request ended an upstream, and sent those at
	// which it reached one, by its body.
	ended, sent map[string][]time.Duration
}

// mortalUpstream is an upstream that may end. The channel is closed when it ends.
type mortalUpstream struct {
	downUntil time.Duration
	ended     chan struct{}
}

// Call runs a call until it is done or its upstream ends.
func (f *poisonFleet) Call(_ context.Context, c upstream.Call) upstream.Answer {
	body := cmp.Or(string(c.Body), strings.ReplaceAll(strings.TrimPrefix(c.Target, "/"), "/", " "))
	f.mu.Lock()
	u := f.upstreams[c.Upstream.ID]
	now := time.Since(f.start)
	if now < u.downUntil {
		f.mu.Unlock()
		return upstream.Failed{Err: errors.New("connection refused")}
	}
	request, _, _ := strings.Cut(body, ",")
	request += string(c.Account)
	f.sent[request] = append(f.sent[request], now)
	ended := u.ended
	f.mu.Unlock()
	work, isPoison := limitWork, strings.HasPrefix(body, "poison") && c.Account != soundAccount && (f.curedAt == 0 || now < f.curedAt)
	if isPoison {
		work = poisonWork
	}
	select {
	case <-ended:
		return upstream.Failed{Err: errors.New("unexpected EOF"), Sent: true}
	case <-time.After(work):
	}
	if f.deadlyEvent > 0 {
		s := &mortalStream{fleet: f, call: c, ended: ended, next: int(c.LastEventID) + 1}
		if isPoison {
			s.deadly, s.request = s.next+f.deadlyEvent-1, request
		}
		return upstream.Streaming{Status: http.StatusOK, Events: s}
	}
	if !isPoison {
		return upstream.Complete{Status: http.StatusOK}
	}
	f.mu.Lock()
	timedOut := f.timesOut && len(f.sent[request])%2 == 0
	f.mu.Unlock()
	if timedOut {
		return upstream.Complete{Status: http.StatusGatewayTimeout}
	}
	f.endWith(c.Upstream.ID, request)
	return upstream.Failed{Err: errors.New("unexpected EOF"), Sent: true}
}

// endWith ends the upstream of a poisonous request.
func (f *poisonFleet) endWith(id ident.UpstreamID, request string) {
	if f.end(id) {
		f.mu.Lock()
		f.ended[request] = append(f.ended[request], time.Since(f.start))
		f.mu.Unlock()
	}
}

// mortalStream is an answer that breaks off when its upstream ends.
type mortalStream struct {
	fleet *poisonFleet
	call  upstream.Call
	ended chan struct{}
	next  int
	// deadly is the event of a poisonous request that ends the upstream, 0 for none.
	deadly  int
	request string
}

func (s *mortalStream) Next() (upstream.Event, error) {
	if s.deadly > 0 && s.next > s.deadly {
		s.fleet.endWith(s.call.Upstream.ID, s.request)
		return upstream.Event{}, io.ErrUnexpectedEOF
	}
	if s.next > streamEvents {
		return upstream.Event{}, io.EOF
	}
	select {
	case <-s.ended:
		return upstream.Event{}, io.ErrUnexpectedEOF
	case <-time.After(eventPause):
	}
	s.next++
	return upstream.Event{ID: ident.EventID(s.next - 1)}, nil
}

func (s *mortalStream) Close() {}

// IsDown reports whether an upstream is down.
func (f *poisonFleet) IsDown(_ context.Context, u upstream.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.start) < f.upstreams[u.ID].downUntil
}

// end ends an upstream. It reports false if it is down already.
func (f *poisonFleet) end(id ident.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[id]
	if time.Since(f.start) < u.downUntil {
		return false
	}
	u.downUntil = time.Since(f.start) + restartTime
	close(u.ended)
	u.ended = make(chan struct{})
	return true
}

// play sends the load of a line through its VMs and describes what the upstreams and
// the callers saw.
func (f *poisonFleet) play(line goldentest.Fields) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	timers := timer.New()
	store := slowStore{Rowstore: rowstore.New()}
	var list []upstream.Upstream
	for i := range line.Int("upstreams") {
		u := upstream.Upstream{ID: ident.UpstreamID(fmt.Sprint("u", i)), Pool: "pool", Address: fmt.Sprint(i)}
		list = append(list, u)
		f.upstreams[u.ID] = &mortalUpstream{ended: make(chan struct{})}
	}
	var members []snapshot.Member
	for i := range line.Int("vms") {
		members = append(members, snapshot.Member{VM: ident.VMID(fmt.Sprint("vm", i))})
	}
	chains := make([]atomic.Pointer[traffic.Handler], len(members))
	var controls []*executor.Executor
	startVM := func(i int) {
		control := executor.New(executor.WithTimers(timers), executor.WithEffectRunner(storeworker.New(ctx, store, timers)),
			executor.WithControllers(crashcounter.New(uint64(i), func(err error) { panic(err) }), balancer.New(balancer.Location{VM: members[i].VM}, uint64(i))))
		control.Post(message.MembersListed{Serving: members})
		control.Post(message.UpstreamsRead{Upstreams: list, AsOf: time.Now()})
		controls = append(controls, control)
		chain := traffic.Chain(quarantiner.New(control, timers), forwarder.New(control, f, timers))
		chains[i].Store(&chain)
	}
	for i := range members {
		startVM(i)
	}
	var requestID atomic.Int64
	send := func(vm int, account ident.AccountID, body string) *failure.Error {
		x := &traffic.Exchange{
			Request: traffic.Request{ID: ident.RequestID(fmt.Sprint("request-", requestID.Add(1))), Method: http.MethodPost, Target: target(line, body), Body: input(line, body)}, Body: []byte(body),
			Pool: "pool", Deadline: time.Now().Add(2 * time.Second),
			Route: &routing.Route{Kind: kind(line["kind"]), Attempts: 2}, Responder: discardingResponder{},
		}
		if line.Has("accounts") {
			x.Account = &clientaccount.Account{ID: account}
		}
		if line.Has("no_body") {
			x.Body, x.Request.Body = nil, nil
		}
		return failure.From((*chains[vm].Load())(ctx, x))
	}
	var mu sync.Mutex
	var sent, unserved, quarantined int
	var load, requests sync.WaitGroup
	for i := range chains {
		random := rand.New(rand.NewPCG(2, uint64(i)))
		load.Go(func() {
			for n := 0; time.Since(f.start) < poisonPlayTime; n++ {
				time.Sleep(time.Duration(random.ExpFloat64() / line.Float("per_vm") * float64(time.Second)))
				requests.Go(func() {
					body := soundBody(line, i, n)
					err := send(i, soundAccount, body)
					if err != nil {
						time.Sleep(poisonPause)
						retry := rand.New(rand.NewPCG(uint64(i), uint64(n)))
						err = send(retry.IntN(len(chains)), soundAccount, body)
					}
					mu.Lock()
					defer mu.Unlock()
					sent++
					if err != nil {
						unserved++
					}
					if err != nil && err.Kind == failure.Quarantined {
						quarantined++
					}
				})
			}
		})
	}
	for p := range line.Int("poisons") {
		load.Go(func() {
			f.sendPoison(line, p, len(chains), func(vm int, body string) *failure.Error { return send(vm, poisonAccount, body) })
		})
	}
	load.Go(func() {
		time.Sleep(poisonRestart)
		for i := range line.Int("restarted") {
			startVM(i)
		}
	})
	f.startCrashes(line, &load, list)
	load.Wait()
	requests.Wait()
	for _, control := range controls {
		control.Close()
	}
	result := fmt.Sprintf("sent more than three times after its third upstream: %t, sound requests not served: %t, taken for poisonous: %t",
		f.isExceeded(), unserved*100 > sent, quarantined > sent/1000)
	if f.curedAt > 0 {
		result += fmt.Sprintf(", served once it is sound: %t", f.served.Load())
	}
	return result
}

// startCrashes ends upstreams at the times of a line, whatever requests they have.
func (f *poisonFleet) startCrashes(line goldentest.Fields, load *sync.WaitGroup, list []upstream.Upstream) {
	load.Go(func() {
		time.Sleep(crashTime)
		for i := range line.Int("ends_together") {
			f.end(list[i].ID)
		}
	})
	if line.Has("ends_each") {
		load.Go(func() {
			random := rand.New(rand.NewPCG(4, 0))
			for time.Since(f.start) < poisonPlayTime {
				time.Sleep(line.Duration("ends_each"))
				f.end(list[random.IntN(len(list))].ID)
			}
		})
	}
}

// isExceeded reports whether a request that ended three upstreams reached more others
// than are allowed.
func (f *poisonFleet) isExceeded() bool {
	for body, ended := range f.ended {
		slices.Sort(ended)
		if len(ended) < poisonLimit {
			continue
		}
		late := 0
		for _, at := range f.sent[body] {
			if at > ended[poisonLimit-1]+poisonGrace && (f.curedAt == 0 || at < f.curedAt) {
				late++
			}
		}
		if late > poisonRetries {
			return true
		}
	}
	return false
}

// Plays the pattern "a request ends each upstream that runs it, and its callers send
// it again at any VM". It guards against one request that ends upstream after
// upstream, against sound requests that fail with it, and against sound requests that
// are taken for poisonous because they met upstreams that ended.
func TestPoisonousRequest(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/poison/*.txtar", func(line string) (result string) {
		f := goldentest.Parse(line)
		synctest.Test(t, func(*testing.T) {
			fleet := &poisonFleet{
				start: time.Now(), timesOut: f.Has("times_out"), deadlyEvent: f.Int("deadly_event"), curedAt: f.Duration("cured_at"), upstreams: map[ident.UpstreamID]*mortalUpstream{},
				ended: map[string][]time.Duration{}, sent: map[string][]time.Duration{},
			}
			result = fleet.play(f)
		})
		return result
	})).To(Succeed())
}
