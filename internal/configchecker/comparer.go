package configchecker

import (
	"fmt"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Compare returns what a document changes for callers against the version in force.
func Compare(inForce, next *Document) []Finding {
	var found findings
	if next.Version <= inForce.Version {
		found.add(Error, VersionPlace{}, fmt.Sprintf("set it to %d or higher", inForce.Version+1),
			"version %d is not higher than the one in force, %d", next.Version, inForce.Version)
	}
	before := len(found)
	found.compareLimits(inForce.Limits, next.Limits)
	found.compareRoutes(inForce, next)
	found.comparePools(inForce, next)
	found.compareAccounts(inForce, next)
	if len(found) == before {
		found.add(Note, DocumentPlace{}, "sending it changes nothing for callers", "nothing differs from the version in force")
	}
	return found
}

// changed adds a change of one value, unless it is the same.
func changed[T comparable](f *findings, place Place, name string, before, after T, effect string) {
	if before != after {
		f.add(Change, place, effect, "%s changes from %v to %v", name, before, after)
	}
}

func (f *findings) compareLimits(before, after routing.Limits) {
	f.compareBytes(LimitPlace{HeaderBytes}, "the limit on headers", before.HeaderBytes, after.HeaderBytes, "requests with larger headers are refused with 431")
	f.compareBytes(LimitPlace{BodyBytes}, "the limit on bodies", before.BodyBytes, after.BodyBytes, "requests with larger bodies are refused with 413")
	changed(f, LimitPlace{HeaderDuration}, "the header timeout", before.Header, after.Header, "entry VMs go by callers.head_time of their settings, which must not be lower")
	changed(f, LimitPlace{IdleDuration}, "the idle timeout", before.Idle, after.Idle, "entry VMs go by their own limits; callers may reuse idle connections by the new value")
}

func (f *findings) compareBytes(place Place, name string, before, after unit.Bytes, lowered string) {
	if before == after {
		return
	}
	text := func(b unit.Bytes) string {
		if b == 0 {
			return "none"
		}
		return fmt.Sprintf("%d bytes", b)
	}
	effect := "callers may send more"
	switch {
	case after == 0:
		effect = "entry VMs go by their own limit"
	case before == 0 || after < before:
		effect = lowered
	}
	f.add(Change, place, effect, "%s changes from %s to %s", name, text(before), text(after))
}

func (f *findings) comparePools(inForce, next *Document) {
	before := indexBy(inForce.Pools, func(p routing.Pool) string { return string(p.ID) })
	after := indexBy(next.Pools, func(p routing.Pool) string { return string(p.ID) })
	for i, p := range next.Pools {
		j, known := before[string(p.ID)]
		switch {
		case after[string(p.ID)] != i:
		case !known:
			f.add(Change, PoolPlace{i, ""}, "upstreams that register in it receive the requests of its routes", "pool %q is added", p.ID)
		default:
			old := inForce.Pools[j]
			changed(f, PoolPlace{i, Connections}, fmt.Sprintf("the number of connections to an upstream of pool %q", p.ID), old.Connections, p.Connections,
				"all callers of an upstream share them")
			changed(f, PoolPlace{i, Engine}, fmt.Sprintf("pool %q", p.ID), describeEngine(old.Engine), describeEngine(p.Engine),
				"requests are refused for load by the new slots, and turns are granted by the new tokens of an event")
		}
	}
	for i, p := range inForce.Pools {
		if _, kept := after[string(p.ID)]; !kept && before[string(p.ID)] == i {
			f.add(Change, InForcePlace{PoolPlace{i, ""}}, "its upstreams receive no new requests", "pool %q is removed", p.ID)
		}
	}
}

func describeEngine(e *routing.Engine) string {
	if e == nil {
		return "services"
	}
	return fmt.Sprintf("engines with %d slots, memory of %d tokens and %d tokens an event", e.Slots, e.Memory, e.EventTokens)
}

// indexBy returns the first index of each key.
func indexBy[T any](list []T, key func(T) string) map[string]int {
	first := map[string]int{}
	for i, element := range list {
		if _, taken := first[key(element)]; !taken {
			first[key(element)] = i
		}
	}
	return first
}

// count returns a number and a noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// shares describes how requests are distributed over pools.
func shares(destinations []routing.Destination) string {
	var total unit.Ratio
	for _, d := range destinations {
		total += max(d.Weight, 0)
	}
	var parts []string
	for _, d := range destinations {
		if d.Weight > 0 {
			parts = append(parts, fmt.Sprintf("%s (%.4g %%)", d.Pool, float64(d.Weight/total*100)))
		}
	}
	if parts == nil {
		return "no pool"
	}
	return strings.Join(parts, ", ")
}
