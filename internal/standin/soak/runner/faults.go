package runner

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/proxier"
)

// fault disturbs the deployment until its context ends, and repairs what it did.
type fault struct {
	name string
	run  func(ctx context.Context, random *rand.Rand) error
}

// faults returns all faults of a deployment.
func (r *Runner) faults() []fault {
	return []fault{
		{"kill", r.kill}, {"stop", r.stop}, {"pause", r.pause}, {"hang up", r.hangUp}, {"kill all", r.killAll},
		{"store refuses", r.storeFault(rowkeeper.Refuse{})},
		{"store loses answers", r.storeFault(rowkeeper.LoseAnswer{})},
		{"store applies late", r.storeFault(rowkeeper.ApplyLate{})},
		{"store turns a VM away", r.disturbStore(proxier.Refuse{})},
		{"store silent", r.disturbStore(proxier.Silence{})},
		{"store one way", r.disturbStore(proxier.OneWay{})},
		{"store slow", r.disturbStore(proxier.Delay{By: 100 * time.Millisecond})},
		{"store connections reset", r.resetStore},
		{"upstream silent", r.disturbUpstream(proxier.Silence{})},
		{"upstream slow", r.disturbUpstream(proxier.Delay{By: 150 * time.Millisecond})},
		{"upstream connections reset", r.resetUpstreams},
		{"upstreams shed", r.behave(replica.Shed{})},
		{"upstreams break", r.behave(replica.Break{After: 1})},
		{"upstreams garble", r.behave(replica.Garble{})},
	}
}

// hold waits for the end of a fault, or for a time.
func hold(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *Runner) pick(random *rand.Rand) *vm { return r.vms[random.IntN(len(r.vms))] }

func (r *Runner) kill(ctx context.Context, random *rand.Rand) error {
	v := r.pick(random)
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	if err := v.signal(syscall.SIGKILL); err != nil {
		return err
	}
	// A killed process has no exit to check.
	_ = v.wait()
	hold(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
	return v.restart()
}

// killAll ends all processes at the same moment: what must last is in the store.
func (r *Runner) killAll(_ context.Context, _ *rand.Rand) error {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
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

// stop stops a VM as the platform does, and starts it again.
func (r *Runner) stop(_ context.Context, random *rand.Rand) error {
	v := r.pick(random)
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	if err := v.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := v.wait(); err != nil {
		r.checker.Violate("stop: %s did not stop cleanly: %v", v.name, err)
	}
	return v.restart()
}

func (r *Runner) pause(ctx context.Context, random *rand.Rand) error {
	v := r.pick(random)
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	if err := v.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	hold(ctx, time.Duration(300+random.IntN(2500))*time.Millisecond)
	return v.signal(syscall.SIGCONT)
}

func (r *Runner) hangUp(_ context.Context, random *rand.Rand) error {
	return r.pick(random).signal(syscall.SIGHUP)
}

// storeFault makes a share of the store's calls fail.
func (r *Runner) storeFault(f rowkeeper.Fault) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		share := 0.3 + 0.7*random.Float64()
		r.keeper.Inject(func(write bool) rowkeeper.Fault {
			if _, refuses := f.(rowkeeper.Refuse); !write && !refuses || rand.Float64() > share {
				return nil
			}
			return f
		})
		hold(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		r.keeper.Inject(func(bool) rowkeeper.Fault { return nil })
		r.keeper.Settle()
		return nil
	}
}

func (r *Runner) disturbStore(d proxier.Disturbance) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		store := r.pick(random).store
		store.Set(d)
		hold(ctx, time.Duration(500+random.IntN(3000))*time.Millisecond)
		store.Set(proxier.None{})
		return nil
	}
}

func (r *Runner) resetStore(_ context.Context, random *rand.Rand) error {
	r.pick(random).store.Reset()
	return nil
}

func (r *Runner) disturbUpstream(d proxier.Disturbance) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		u := r.upstreams[random.IntN(len(r.upstreams))]
		u.proxy.Set(d)
		hold(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		u.proxy.Set(proxier.None{})
		return nil
	}
}

func (r *Runner) resetUpstreams(_ context.Context, _ *rand.Rand) error {
	for _, u := range r.upstreams {
		u.proxy.Reset()
	}
	return nil
}

// behave makes upstreams treat a tenth of their requests in some way.
func (r *Runner) behave(b replica.Behaviour) func(context.Context, *rand.Rand) error {
	return func(ctx context.Context, random *rand.Rand) error {
		for _, u := range r.upstreams {
			u.replica.Decide(func(replica.Run) replica.Behaviour {
				if rand.IntN(10) == 0 {
					return b
				}
				return replica.Serve{}
			})
		}
		hold(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		for _, u := range r.upstreams {
			u.replica.Decide(func(replica.Run) replica.Behaviour { return replica.Serve{} })
		}
		return nil
	}
}
