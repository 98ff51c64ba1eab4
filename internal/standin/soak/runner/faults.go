package runner

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/proxy"
)

// fault injects a fault into the deployment and removes it again, at the latest
// when its context ends.
type fault struct {
	name string
	run  func(ctx context.Context, random *rand.Rand) error
}

// faults returns all faults that can be injected.
func (r *Runner) faults() []fault {
	return []fault{
		{"kill", r.kill}, {"stop", r.terminate}, {"pause", r.pause}, {"reload settings", r.reload}, {"kill all", r.killAll},
		{"store refuses calls", r.storeCallFault(rowstore.Refuse{})},
		{"store loses answers", r.storeCallFault(rowstore.LoseAnswer{})},
		{"store applies transactions late", r.storeCallFault(rowstore.ApplyLate{})},
		{"store refuses connections", r.storeProxyFault(proxy.Refuse{})},
		{"store stalled", r.storeProxyFault(proxy.Stall{})},
		{"store responses stalled", r.storeProxyFault(proxy.StallResponses{})},
		{"store slow", r.storeProxyFault(proxy.Delay{By: 100 * time.Millisecond})},
		{"store connections reset", r.resetStoreConnections},
		{"upstream stalled", r.upstreamProxyFault(proxy.Stall{})},
		{"upstream slow", r.upstreamProxyFault(proxy.Delay{By: 150 * time.Millisecond})},
		{"upstream connections reset", r.resetUpstreamConnections},
		{"upstreams shed requests", r.upstreamBehaviour(replica.Shed{})},
		{"upstreams break answers off", r.upstreamBehaviour(replica.Break{After: 1})},
		{"upstreams answer with another ID", r.upstreamBehaviour(replica.WrongID{})},
	}
}

// waitFor waits for d or until the context ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *Runner) randomVM(random *rand.Rand) *vm { return r.vms[random.IntN(len(r.vms))] }

func (r *Runner) kill(ctx context.Context, random *rand.Rand) error {
	v := r.randomVM(random)
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	if err := v.signal(syscall.SIGKILL); err != nil {
		return err
	}
	// The exit status of a killed process is of no interest.
	_ = v.wait()
	waitFor(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
	return v.restart()
}

// killAll kills all processes at once, so that only state in the store survives.
func (r *Runner) killAll(_ context.Context, _ *rand.Rand) error {
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	for _, v := range r.vms {
		if err := v.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		_ = v.wait()
		if err := v.restart(); err != nil {
			return err
		}
	}
	return nil
}

// terminate stops a VM with SIGTERM, as the platform does, and restarts it.
func (r *Runner) terminate(_ context.Context, random *rand.Rand) error {
	v := r.randomVM(random)
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	if err := v.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := v.wait(); err != nil {
		r.checker.AddViolation("unclean stop: %s exited after SIGTERM with: %v; end of its log:\n%s", v.name, err, v.logTail())
	}
	return v.restart()
}

func (r *Runner) pause(ctx context.Context, random *rand.Rand) error {
	v := r.randomVM(random)
	r.lifecycleMu.Lock()
	defer r.lifecycleMu.Unlock()
	if err := v.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	waitFor(ctx, time.Duration(300+random.IntN(2500))*time.Millisecond)
	return v.signal(syscall.SIGCONT)
}

func (r *Runner) reload(_ context.Context, random *rand.Rand) error {
	return r.randomVM(random).signal(syscall.SIGHUP)
}

// storeCallFault makes a random share of the store's calls fail. Only Refuse also
// applies to reads.
func (r *Runner) storeCallFault(f rowstore.Fault) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		share := 0.3 + 0.7*random.Float64()
		r.rowStore.Inject(func(write bool) rowstore.Fault {
			if _, refuses := f.(rowstore.Refuse); !write && !refuses || rand.Float64() > share {
				return nil
			}
			return f
		})
		waitFor(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		r.rowStore.Inject(func(bool) rowstore.Fault { return nil })
		r.rowStore.ApplyHeldBack()
		return nil
	}
}

func (r *Runner) storeProxyFault(proxyFault proxy.Fault) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		store := r.randomVM(random).store
		store.SetFault(proxyFault)
		waitFor(ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
		store.SetFault(proxy.None{})
		return nil
	}
}

func (r *Runner) resetStoreConnections(_ context.Context, random *rand.Rand) error {
	r.randomVM(random).store.ResetConnections()
	return nil
}

func (r *Runner) upstreamProxyFault(proxyFault proxy.Fault) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		u := r.upstreams[random.IntN(len(r.upstreams))]
		u.proxy.SetFault(proxyFault)
		waitFor(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		u.proxy.SetFault(proxy.None{})
		return nil
	}
}

func (r *Runner) resetUpstreamConnections(_ context.Context, _ *rand.Rand) error {
	for _, u := range r.upstreams {
		u.proxy.ResetConnections()
	}
	return nil
}

// upstreamBehaviour applies a behaviour to a tenth of all upstreams' requests.
func (r *Runner) upstreamBehaviour(b replica.Behaviour) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		for _, u := range r.upstreams {
			u.replica.Decide(func(replica.Run) replica.Behaviour {
				if rand.IntN(10) == 0 {
					return b
				}
				return replica.Serve{}
			})
		}
		waitFor(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		for _, u := range r.upstreams {
			u.replica.Decide(func(replica.Run) replica.Behaviour { return replica.Serve{} })
		}
		return nil
	}
}
