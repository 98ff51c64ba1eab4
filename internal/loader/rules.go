package loader

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// rules checks what holds between keys.
func (r *reader) rules() {
	s := r.settings
	r.interfaces()
	r.below("freshness.interval", s.Freshness.Interval, "freshness.configuration", s.Freshness.Configuration)
	r.below("freshness.interval", s.Freshness.Interval, "freshness.upstreams", s.Freshness.Upstreams)
	r.atMost("limits.first_byte", s.Limits.FirstByte, "limits.call_time", s.Limits.CallTime)
	r.atMost("limits.between_bytes", s.Limits.BetweenBytes, "limits.call_time", s.Limits.CallTime)
	r.atMost("limits.queue_wait", s.Limits.QueueWait, "limits.call_time", s.Limits.CallTime)
	r.distinct()
}

// interfaces checks that an interface is served, and what each needs.
func (r *reader) interfaces() {
	s := r.settings
	if r.usable("caller_address", "ingress.requests") && !s.CallerAddress.IsValid() && !s.Ingress.Requests.IsValid() {
		r.report("caller_address", "caller_address", "is missing, and so is ingress.requests, so that nothing would be served; add one of them")
	}
	if r.usable("caller_address", settings.AccountsTable) && s.CallerAddress.IsValid() && len(s.Accounts) == 0 {
		r.report(settings.AccountsTable, settings.AccountsTable,
			"there is no account, so that no request at caller_address would be accepted; add a table [[%s]]", settings.AccountsTable)
	}
	if !s.Ingress.Requests.IsValid() {
		return
	}
	for path, address := range map[string]netip.AddrPort{
		"ingress.readiness": s.Ingress.Readiness, "ingress.directory": s.Ingress.Directory, "peer_address": s.PeerAddress,
	} {
		if r.usable(path) && !address.IsValid() {
			r.report(path, path, "is missing, and ingress.requests needs it; add it")
		}
	}
}

// distinct checks that accounts share neither ids nor tokens.
func (r *reader) distinct() {
	ids := map[ident.AccountID]int{}
	tokens := map[settings.Secret]int{}
	for i, account := range r.settings.Accounts {
		path := join(settings.AccountsTable, strconv.Itoa(i))
		if id := join(path, "id"); r.usable(id) {
			if first, ok := ids[account.ID]; ok {
				r.report(id, join(accountName(i), "id"), "is the same as that of %s on line %d; use another id", accountName(first), r.accountLine(first, "id"))
			} else {
				ids[account.ID] = i
			}
		}
		if token := join(path, "token"); r.usable(token) {
			if first, ok := tokens[account.Token]; ok {
				r.report(token, join(accountName(i), "token"), "is the same as that of %s on line %d; use another token", accountName(first), r.accountLine(first, "token"))
			} else {
				tokens[account.Token] = i
			}
		}
	}
}

func (r *reader) accountLine(i int, key string) int {
	return r.lines.line(join(join(settings.AccountsTable, strconv.Itoa(i)), key))
}

// usable reports whether none of the keys nor their tables has a problem.
func (r *reader) usable(paths ...string) bool {
	for _, path := range paths {
		if r.failed[path] || r.failed[parent(path)] {
			return false
		}
	}
	return true
}

func (r *reader) below(low string, lowValue time.Duration, high string, highValue time.Duration) {
	if r.usable(low, high) && lowValue >= highValue {
		r.report(low, low, "%s is not below %s of %s; use a shorter one, or a longer %s",
			settings.FormatDuration(lowValue), high, settings.FormatDuration(highValue), high)
	}
}

func (r *reader) atMost(low string, lowValue time.Duration, high string, highValue time.Duration) {
	if r.usable(low, high) && lowValue > highValue {
		r.report(low, low, "%s is above %s of %s; use a shorter one, or a longer %s",
			settings.FormatDuration(lowValue), high, settings.FormatDuration(highValue), high)
	}
}
