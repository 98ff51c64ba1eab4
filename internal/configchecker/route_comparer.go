package configchecker

import (
	"fmt"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/routing"
)

// routeName identifies a route in both versions: by its name, or by what it matches.
func routeName(r Route) string {
	if r.ID != "" {
		return string(r.ID)
	}
	return matched(r)
}

func matched(r Route) string { return strings.ToLower(r.Host) + r.Prefix }

func (f *findings) compareRoutes(inForce, next *Document) {
	before, after := indexBy(inForce.Routes, routeName), indexBy(next.Routes, routeName)
	oldTable, newTable := inForce.table(), next.table()
	for i, r := range next.Routes {
		j, known := before[routeName(r)]
		switch {
		case after[routeName(r)] != i:
		case !known:
			f.add(Change, RoutePlace{i, ""}, "such requests "+fallback(oldTable, r, "went to route %q so far", "were answered with 404 so far"),
				"route %q is added: requests to %s go to %s", r.ID, matched(r), shares(r.Destinations))
		default:
			old := inForce.Routes[j]
			if matched(old) != matched(r) {
				f.add(Change, RoutePlace{i, Prefix}, "requests to the old place "+fallback(newTable, old, "go to route %q", "are answered with 404"),
					"route %q moves from %s to %s", r.ID, matched(old), matched(r))
			}
			f.compareRoute(i, old, r, next.Accounts != nil)
		}
	}
	for i, r := range inForce.Routes {
		if _, kept := after[routeName(r)]; !kept && before[routeName(r)] == i {
			f.add(Change, InForcePlace{RoutePlace{i, ""}}, "such requests "+fallback(newTable, r, "go to route %q", "are answered with 404"),
				"route %q is removed: it served requests to %s", r.ID, matched(r))
		}
	}
}

// fallback says which route of another version matches the requests of a route.
func fallback(table *routing.Table, r Route, other, none string) string {
	if route, ok := table.Match(r.Host, r.Prefix); ok {
		return fmt.Sprintf(other, route.ID)
	}
	return none
}

func (f *findings) compareRoute(i int, before, after Route, keysNeeded bool) {
	name := func(property string) string { return fmt.Sprintf("the %s of route %q", property, after.ID) }
	at := func(field Field) Place { return RoutePlace{i, field} }
	changed(f, at(Kind), name("kind"), describeKind(before.Kind), describeKind(after.Kind), kindEffect(after))
	if old, now := shares(before.Destinations), shares(after.Destinations); old != now {
		effect := "requests under way end where they are"
		if _, isStream := after.Kind.(routing.Stream); isStream {
			effect += "; engines of another pool compute the prompts of programs again"
		}
		f.add(Change, at(Destinations), effect, "route %q moves from %s to %s", after.ID, old, now)
	}
	timeoutEffect := "callers may wait longer for an answer"
	if after.Timeout < before.Timeout {
		timeoutEffect = "requests that take longer fail with 504, or their stream breaks off"
	}
	changed(f, at(Timeout), name("timeout"), before.Timeout, after.Timeout, timeoutEffect)
	changed(f, at(Target), name("target latency"), before.Target, after.Target, "a pool counts as short of capacity by the new target")
	priorityEffect := "under load its requests are refused before those of routes that keep their priority"
	if after.Priority < before.Priority {
		priorityEffect = "under load its requests are refused after those of routes that keep their priority"
	}
	changed(f, at(Priority), name("priority"), before.Priority, after.Priority, priorityEffect+"; a priority of an account replaces it")
	changed(f, at(Attempts), name("number of attempts"), before.Attempts, after.Attempts, "a request that may be repeated is tried on so many upstreams")
	changed(f, at(Sticky), name("stickiness"), before.Sticky, after.Sticky, "if true, a program returns to the upstream that served it")
	f.comparePublic(i, before, after, keysNeeded)
	changed(f, at(Retention), name("retention"), before.Retention, after.Retention, "entry VMs do not go by it: they remove turns 15 minutes after the last use of a program")
	changed(f, at(Gap), name("target between events"), before.Gap, after.Gap, "callers expect events at least this often; entry VMs do not enforce it")
}

func (f *findings) comparePublic(i int, before, after Route, keysNeeded bool) {
	switch {
	case before.Public == after.Public:
	case after.Public:
		f.add(Change, RoutePlace{i, Public}, "anyone who reaches an entry VM can use it", "route %q becomes public: its requests need no key", after.ID)
	case keysNeeded:
		f.add(Change, RoutePlace{i, Public}, "requests without a valid key are refused with 401", "route %q is public no longer", after.ID)
	default:
		f.add(Change, RoutePlace{i, Public}, "callers see no difference until accounts are listed", "route %q is public no longer", after.ID)
	}
}

func describeKind(k routing.Kind) string {
	switch k := k.(type) {
	case routing.Idempotent:
		return "repeatable"
	case routing.Stream:
		text := "stream"
		if k.Resumable {
			text += ", resumable"
		}
		if k.Retained {
			text += ", retained"
		}
		return text
	default:
		return "not repeatable"
	}
}

func kindEffect(r Route) string {
	if r.Repeatable() {
		return "a request that failed may run again on another upstream"
	}
	return "a request that may have run is not sent again, and its caller sees the failure"
}
