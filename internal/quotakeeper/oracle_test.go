package quotakeeper_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	step         = 20 * time.Millisecond
	listInterval = 1500 * time.Millisecond
	// rowRetention is how long a VM stays on the lists after it wrote its row.
	rowRetention = time.Minute
	// restartRetention is the age of its row up to which a VM counts as restarted.
	restartRetention = 50 * time.Second
	// fullStep is the step from which all keepers of a new fleet grant in full, 2 s after the
	// handover delay, and loadStep the one at which callers begin.
	fullStep = int((quotakeeper.HandoverDelay + 2*time.Second) / step)
	loadStep = fullStep + 750
	// staleness is the largest age of the state from which the store answers.
	staleness = 3 * time.Second
)

// fleetVM is an entry VM of the model.
type fleetVM struct {
	member  snapshot.Member
	keeper  *quotakeeper.Keeper
	running bool
	leaving bool
	// frozenUntil and cutUntil are the times until which the VM does nothing, and does not
	// reach the store.
	frozenUntil, cutUntil time.Time
	// wroteAt is the time of its row.
	wroteAt, nextRead time.Time
	// joinedAt is the time of the first write of its row after it had no recent one.
	joinedAt time.Time
	// restarted is true if it had a recent row when its process started, and read once it
	// has read the table.
	restarted, read bool
	assigner        *quotaassigner.Assigner
	quota           clientaccount.Quota
	version         ident.Version
}

// fleet is a set of VMs that share the quota of one account.
type fleet struct {
	t       *rapid.T
	now     time.Time
	regions []ident.Region
	vms     []*fleetVM
	quota   clientaccount.Quota
	version ident.Version
	// runs has the times of the requests that ran, in any order.
	runs []time.Time
}

func newFleet(t *rapid.T, perRegion int, quota clientaccount.Quota) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), regions: []ident.Region{"east", "north", "west"}, quota: quota, version: 1}
	for _, region := range f.regions {
		for i := range perRegion {
			v := &fleetVM{member: member(fmt.Sprintf("%s-%d", region, i), string(region))}
			f.vms = append(f.vms, v)
			f.startVM(v)
		}
	}
	return f
}

func (f *fleet) startVM(v *fleetVM) {
	v.running, v.leaving, v.read = true, false, false
	v.keeper = quotakeeper.New(v.member.VM, len(f.regions), limits)
	v.assigner = quotaassigner.New([]snapshot.Member{v.member})
	v.nextRead = f.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(f.t, "phase")) * time.Millisecond)
	v.quota, v.version = f.quota, f.version
}

// listed returns the VMs with recent rows as a VM reads them from a state of an age. A
// VM's own list always has it.
func (f *fleet) listed(reader *fleetVM, age time.Duration) []snapshot.Member {
	var recent []snapshot.Member
	state := f.now.Add(-age)
	for _, v := range f.vms {
		written := !v.wroteAt.IsZero() && !v.joinedAt.After(state)
		if v == reader || written && state.Sub(v.wroteAt) <= rowRetention {
			recent = append(recent, v.member)
		}
	}
	return recent
}

// advance lets a step pass, in which VMs read the list and write their rows.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	for _, v := range f.vms {
		if !v.active(f.now) || f.now.Before(v.nextRead) || f.now.Before(v.cutUntil) {
			continue
		}
		v.nextRead = f.now.Add(listInterval)
		age := time.Duration(0)
		if rapid.IntRange(0, 9).Draw(f.t, "stale") == 0 {
			age = rapid.SampledFrom([]time.Duration{staleness / 3, staleness}).Draw(f.t, "age of the state")
		}
		recent := f.listed(v, age)
		if !v.read {
			v.restarted = !v.wroteAt.IsZero() && f.now.Sub(v.wroteAt) <= restartRetention && !v.joinedAt.After(f.now.Add(-age))
			v.read = true
		}
		if v.wroteAt.IsZero() || f.now.Sub(v.wroteAt) > rowRetention {
			v.joinedAt = f.now
		}
		v.wroteAt = f.now
		v.assigner = quotaassigner.New(recent)
		v.keeper.UpdateList(f.now, f.now, v.assigner, v.restarted)
		v.quota, v.version = f.quota, f.version
	}
}

func (v *fleetVM) active(now time.Time) bool { return v.running && !now.Before(v.frozenUntil) }

// request sends a request for a token to the keepers that a VM knows, its own region's
// first, and runs the caller's request. It reports whether the request ran.
func (f *fleet) request(v *fleetVM, first bool, run func() time.Duration, lost func() bool) bool {
	own := max(slices.Index(f.regions, v.member.Region), 0)
	for i := range f.regions {
		part := f.regions[(own+i)%len(f.regions)]
		keeper, _ := v.assigner.Keeper("kantor", part)
		i := slices.IndexFunc(f.vms, func(o *fleetVM) bool { return o.member.VM == keeper.VM })
		if i < 0 || !f.vms[i].active(f.now) {
			continue
		}
		r := quotakeeper.Request{Account: "kantor", Part: part, Rate: v.quota.Rate, Burst: v.quota.Burst, Version: v.version}
		if r.Further = 1; first {
			r.First, r.Further = 1, 0
		}
		answer, ok := f.vms[i].keeper.Take(f.now, r).(quotakeeper.Granted)
		if !ok || answer.First+answer.Further == 0 || lost() {
			continue
		}
		f.runs = append(f.runs, f.now.Add(run()))
		return true
	}
	return false
}

// check fails if a sliding window that begins after a time has more requests than a quota
// allows.
func (f *fleet) check(quota clientaccount.Quota, from time.Time) {
	slices.SortFunc(f.runs, time.Time.Compare)
	perWindow := float64(quota.Rate)*limits.Window.Seconds() + float64(quota.Burst)
	bound := int(math.Floor(perWindow*(1+float64(limits.Overage)) + float64(limits.Slack)))
	oldest := 0
	for newest, at := range f.runs {
		for f.runs[oldest].Before(at.Add(-limits.Window)) || f.runs[oldest].Before(from) && oldest < newest {
			oldest++
		}
		if n := newest - oldest + 1; n > bound {
			f.t.Fatalf("%d requests in the window that ends at %s, %d are allowed by %+v", n, at.Sub(time.Unix(1000, 0)), bound, quota)
		}
	}
}

// disturb applies a random fault.
func (f *fleet) disturb() {
	v := rapid.SampledFrom(f.vms).Draw(f.t, "vm")
	keeper, _ := quotaassigner.New(f.listed(nil, 0)).Keeper("kantor", rapid.SampledFrom(f.regions).Draw(f.t, "part"))
	i := slices.IndexFunc(f.vms, func(o *fleetVM) bool { return o.member.VM == keeper.VM })
	if i >= 0 && rapid.IntRange(0, 3).Draw(f.t, "of a keeper") > 0 {
		v = f.vms[i]
	}
	until := f.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(f.t, "for")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(f.t, "fault") {
	case 0:
		v.running = false
	case 1:
		// A VM that stops without leaving and starts again at once has its row.
		f.startVM(v)
	case 2:
		v.frozenUntil = until
	case 3:
		v.cutUntil = until
	case 4:
		for _, o := range f.vms {
			o.cutUntil = until
		}
	case 5:
		// All VMs start again, after their rows have been removed.
		for _, o := range f.vms {
			f.startVM(o)
			o.wroteAt = time.Time{}
		}
	case 6:
		v.leaving = true
		if v.active(f.now) {
			v.assigner = quotaassigner.New(f.listed(v, 0))
			v.keeper.UpdateList(f.now, f.now, v.assigner, v.restarted)
		}
	}
}

func drawQuota(t *rapid.T) clientaccount.Quota {
	return clientaccount.Quota{
		Rate:  unit.Rate(rapid.SampledFrom([]float64{1, 2, 20, 60}).Draw(t, "rate")),
		Burst: rapid.SampledFrom([]int{0, 5, 40, 400}).Draw(t, "burst"),
	}
}

// Guards against requests in a sliding window beyond the bound: keepers that are killed,
// restart with a full bucket, wake from a freeze, lose the store, or change with the list
// while all callers send as much as they can.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "VMs of a region"), drawQuota(t))
		quota, lowered := f.quota, time.Time{}
		lifetime := int(limits.TokenLifetime() / time.Millisecond)
		faultAt := rapid.SliceOfN(rapid.IntRange(400, 1200), 1, 6).Draw(t, "faults at")
		// An account that is quiet until the first fault has full buckets then.
		quiet := slices.Min(faultAt) - rapid.IntRange(1, 60).Draw(t, "requests before the fault")
		lowerAt := rapid.IntRange(600, 3000).Draw(t, "limit falls at")
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { seed = seed*6364136223846793005 + 1442695040888963407; return int(seed>>33) % n }
		for i := range 2000 {
			f.advance()
			for range f.count(faultAt, i) {
				f.disturb()
			}
			if i == lowerAt {
				f.check(quota, time.Time{})
				f.quota.Rate, f.quota.Burst = f.quota.Rate/4, f.quota.Burst/4
				f.version, lowered = 2, f.now
			}
			for range 1 + int(float64(quota.Rate)*step.Seconds()*10) {
				if i < quiet {
					break
				}
				if v := f.vms[random(len(f.vms))]; v.active(f.now) {
					f.request(v, random(3) == 0, func() time.Duration { return time.Duration(random(lifetime)) * time.Millisecond },
						func() bool { return random(20) == 0 })
				}
			}
		}
		if lowered.IsZero() {
			f.check(quota, time.Time{})
		}
	})
}

// count returns how often a step occurs in a list.
func (f *fleet) count(steps []int, step int) int {
	n := 0
	for _, s := range steps {
		if s == step {
			n++
		}
	}
	return n
}

// Guards against a lower limit that does not bind once all VMs have it.
func TestFallingLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 4).Draw(t, "VMs of a region"), clientaccount.Quota{Rate: 60, Burst: 40})
		for i := range 1500 {
			f.advance()
			if i == 700 {
				f.quota, f.version = clientaccount.Quota{Rate: 2, Burst: 2}, 2
			}
			for range 6 {
				v := rapid.SampledFrom(f.vms).Draw(t, "caller")
				f.request(v, false, func() time.Duration { return 0 }, func() bool { return false })
			}
		}
		// All VMs have the new limit after the interval at which they read.
		f.check(f.quota, time.Unix(1000, 0).Add(700*step+listInterval))
	})
}

// Guards against refusals of requests within the quota while nothing fails: programs of
// several requests that begin at random at the VMs of all regions, with pauses between
// their requests, at 1/1.6 of the quota.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "VMs of a region"), drawQuota(t))
		further := rapid.IntRange(0, 12).Draw(t, "further requests")
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { seed = seed*6364136223846793005 + 1442695040888963407; return int(seed>>33) % n }
		due := map[int][]int{}
		// The buckets of the fleet fill from the first handover.
		level, capacity := 0.0, float64(f.quota.Burst)
		begun, served, refusedFirst, refusedFurther := 0, 0, 0, 0
		begin := float64(f.quota.Rate) / 1.6 / float64(1+further) * step.Seconds()
		for i := range loadStep + 5000 {
			f.advance()
			if i > fullStep {
				level = min(level+float64(f.quota.Rate)*step.Seconds(), max(capacity, 1))
			}
			if i > loadStep && float64(random(1_000_000)) < begin*1_000_000 {
				due[i] = append(due[i], further)
			}
			for _, left := range due[i] {
				within := level >= 1
				ran := f.request(f.vms[random(len(f.vms))], left == further, func() time.Duration { return 0 }, func() bool { return false })
				if left == further {
					begun++
				}
				switch {
				case ran:
					served++
					level--
				case within && left == further:
					refusedFirst++
				case within:
					refusedFurther++
				}
				if left > 0 && ran {
					next := i + 1 + random(50)
					due[next] = append(due[next], left-1)
				}
			}
			delete(due, i)
		}
		// New programs may be refused for the expected requests of programs under way, and
		// others while one part is full and the other two are used up.
		if refusedFirst > 3+begun/50 || refusedFurther > 1+served/2000 {
			t.Fatalf("%d of %d first turns and %d further of %d requests within %+v were refused, with %d further requests",
				refusedFirst, begun, refusedFurther, served, f.quota, further)
		}
	})
}
