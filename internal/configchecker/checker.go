package configchecker

import (
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Check returns what is wrong with a document, in the order of its parts.
func Check(d *Document) []Finding {
	var found findings
	found.checkLimits(d.Limits)
	found.checkRoutes(d)
	found.checkPools(d)
	found.checkAccounts(d)
	return found
}

func (f *findings) checkLimits(l routing.Limits) {
	if l.BodyBytes > 0 && l.BodyBytes < l.HeaderBytes {
		f.add(Warning, LimitPlace{BodyBytes}, "raise the limit on bodies or lower the one on headers",
			"bodies may have %d bytes, fewer than headers (%d)", l.BodyBytes, l.HeaderBytes)
	}
	if l.Idle > 0 && l.Idle < l.Header {
		f.add(Warning, LimitPlace{IdleDuration}, "raise the idle timeout or lower the header timeout",
			"idle connections are closed after %s, before the header timeout of %s", l.Idle, l.Header)
	}
}

func (f *findings) checkRoutes(d *Document) {
	if len(d.Routes) == 0 {
		f.add(Warning, DocumentPlace{}, "add routes", "the document has no routes: all requests are answered with 404")
	}
	pools := map[ident.PoolID]bool{}
	for _, p := range d.Pools {
		pools[p.ID] = true
	}
	names := map[ident.RouteID]bool{}
	type match struct{ host, prefix string }
	firsts := map[match]Route{}
	for i, r := range d.Routes {
		if r.ID != "" && names[r.ID] {
			f.add(Error, RoutePlace{i, Name}, "give each route a name of its own", "another route has the name %q, too", r.ID)
		}
		names[r.ID] = true
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			f.add(Error, RoutePlace{i, Prefix}, "write it with a slash at both ends", "prefix %q does not begin and end with a slash", r.Prefix)
		}
		key := match{strings.ToLower(r.Host), r.Prefix}
		if first, hidden := firsts[key]; hidden {
			f.add(Warning, RoutePlace{i, ""}, "remove one of them",
				"route %q never matches: route %q has the same host and prefix and comes first", r.ID, first.ID)
		} else {
			firsts[key] = r
		}
		f.checkDestinations(i, r, pools)
		f.checkRouteLimits(i, r)
	}
}

func (f *findings) checkDestinations(i int, r Route, pools map[ident.PoolID]bool) {
	place := RoutePlace{i, Destinations}
	if len(r.Destinations) == 0 {
		f.add(Error, place, "name a pool", "route %q has no pool", r.ID)
		return
	}
	var total unit.Ratio
	for _, to := range r.Destinations {
		total += max(to.Weight, 0)
		if !pools[to.Pool] {
			f.add(Error, place, "list the pool or name another one", "route %q names the pool %q, which is not listed", r.ID, to.Pool)
		}
	}
	if total <= 0 {
		f.add(Error, place, "give at least one pool a weight above 0", "the weights of route %q sum to 0, so that no pool serves it", r.ID)
	}
}

func (f *findings) checkRouteLimits(i int, r Route) {
	if r.Timeout > 0 && r.Target > r.Timeout {
		f.add(Warning, RoutePlace{i, Target}, "lower the target or raise the timeout",
			"the target latency of %s is above the route's timeout of %s", r.Target, r.Timeout)
	}
	if r.Timeout > 0 && r.Gap > r.Timeout {
		f.add(Warning, RoutePlace{i, Gap}, "lower the target or raise the timeout",
			"the target of %s between events is above the route's timeout of %s", r.Gap, r.Timeout)
	}
	stream, isStream := r.Kind.(routing.Stream)
	if r.Retention > 0 && (!isStream || !stream.Retained) {
		f.add(Warning, RoutePlace{i, Retention}, "remove the retention, or make the route a stream that retains its turns",
			"a retention of %s has no effect: route %q does not retain turns", r.Retention, r.ID)
	}
}

func (f *findings) checkPools(d *Document) {
	used := map[ident.PoolID]bool{}
	for _, r := range d.Routes {
		for _, to := range r.Destinations {
			used[to.Pool] = used[to.Pool] || to.Weight > 0
		}
	}
	names := map[ident.PoolID]bool{}
	for i, p := range d.Pools {
		switch weighted, named := used[p.ID]; {
		case names[p.ID]:
			f.add(Error, PoolPlace{i, Name}, "give each pool a name of its own", "another pool has the name %q, too", p.ID)
		case !named:
			f.add(Warning, PoolPlace{i, ""}, "remove it, or name it in a route", "no route uses pool %q", p.ID)
		case !weighted:
			f.add(Note, PoolPlace{i, ""}, "give it a weight when it is to receive requests", "pool %q has the weight 0 in all routes", p.ID)
		}
		names[p.ID] = true
		if e := p.Engine; e != nil && e.Memory > 0 && e.Memory < e.EventTokens {
			f.add(Warning, PoolPlace{i, Engine}, "correct the capacity or the size of events",
				"an engine holds %d tokens, less than one event (%d)", e.Memory, e.EventTokens)
		}
	}
}

func (f *findings) checkAccounts(d *Document) {
	if d.Accounts != nil && len(d.Accounts) == 0 {
		f.add(Warning, AccountsPlace{}, "remove the list if requests need no key", "the list of accounts is empty: requests to routes that are not public are refused with 401")
	}
	names := map[ident.AccountID]bool{}
	holders := map[clientaccount.Key]int{}
	for i, entry := range d.Accounts {
		id := entry.Account.ID
		switch {
		case id == "":
			f.add(Error, AccountPlace{i, Name}, "give it a name", "the account has no name, so that its keys admit nobody")
		case names[id]:
			f.add(Error, AccountPlace{i, Name}, "give each account a name of its own", "another account has the name %q, too", id)
		}
		names[id] = true
		if len(entry.Keys) == 0 {
			f.add(Warning, AccountPlace{i, Keys}, "give it a key or remove it", "account %q has no key, so that no request is of it", id)
		}
		f.checkKeys(d, i, holders)
		if q := entry.Account.Quota; q.Limited() && q.Burst == 0 && q.Rate < 1 {
			f.add(Warning, AccountPlace{i, Rate}, "set a burst of at least 1",
				"a rate of %v requests a second without a burst is below what one program needs, and only the allowance of the entry VMs lets it begin", q.Rate)
		}
	}
}

// checkKeys finds keys of an account that an earlier one has. Holders has the first account
// of each key.
func (f *findings) checkKeys(d *Document, i int, holders map[clientaccount.Key]int) {
	entry := d.Accounts[i]
	shared := make([]int, i)
	for _, key := range entry.Keys {
		if first, taken := holders[key]; !taken {
			holders[key] = i
		} else if first != i {
			shared[first]++
		}
	}
	for first, n := range shared {
		if n > 0 {
			f.add(Error, AccountPlace{i, Keys}, "give each account keys of its own",
				"account %q has %s of account %q, which holds what both have", entry.Account.ID, count(n, "key"), d.Accounts[first].Account.ID)
		}
	}
}
