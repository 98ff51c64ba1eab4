package configchecker

import (
	"fmt"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
)

const refusedKeys = "requests with them are refused with 401 within the revocation limit, unless their route is public"

// holders returns the account that holds each key.
func holders(accounts []clientaccount.Entry) map[clientaccount.Key]ident.AccountID {
	held := map[clientaccount.Key]ident.AccountID{}
	for _, entry := range accounts {
		for _, key := range entry.Keys {
			if _, taken := held[key]; !taken && entry.Account.ID != "" {
				held[key] = entry.Account.ID
			}
		}
	}
	return held
}

func accountName(e clientaccount.Entry) string { return string(e.Account.ID) }

func (f *findings) compareAccounts(inForce, next *Document) {
	switch {
	case next.Accounts == nil && inForce.Accounts == nil:
		return
	case next.Accounts == nil:
		f.add(Change, DocumentPlace{}, "anyone who reaches an entry VM can use all routes, without a quota", "the list of accounts is removed: requests need no key")
		return
	case inForce.Accounts == nil:
		f.add(Change, AccountsPlace{}, "requests without a valid key are refused with 401", "accounts are listed: requests to routes that are not public need a key")
	}
	before, after := indexBy(inForce.Accounts, accountName), indexBy(next.Accounts, accountName)
	heldBefore, heldAfter := holders(inForce.Accounts), holders(next.Accounts)
	for i, entry := range next.Accounts {
		id := entry.Account.ID
		j, known := before[string(id)]
		switch {
		case id == "" || after[string(id)] != i:
		case !known:
			f.add(Change, AccountPlace{i, ""}, "its keys are accepted once the version is in force", "account %q is added with %s", id, count(len(entry.Keys), "key"))
		default:
			f.compareAccount(i, inForce.Accounts[j].Account, entry.Account)
			f.compareKeys(AccountPlace{i, Keys}, id, heldBefore, heldAfter)
		}
	}
	for i, entry := range inForce.Accounts {
		id := entry.Account.ID
		if _, kept := after[string(id)]; !kept && id != "" && before[string(id)] == i {
			place := InForcePlace{AccountPlace{i, ""}}
			f.add(Change, place, "its turns can't be continued by other accounts", "account %q is removed", id)
			f.compareKeys(place, id, heldBefore, heldAfter)
		}
	}
}

// compareKeys describes the keys that an account lost and gained, without the keys.
func (f *findings) compareKeys(place Place, id ident.AccountID, before, after map[clientaccount.Key]ident.AccountID) {
	removed, added, moved := 0, 0, 0
	for key, holder := range before {
		switch now, kept := after[key]; {
		case holder != id || now == id:
		case kept:
			moved++
		default:
			removed++
		}
	}
	for key, holder := range after {
		if holder == id && before[key] != id {
			added++
		}
	}
	if removed > 0 {
		f.add(Change, place, refusedKeys, "account %q loses %s", id, count(removed, "key"))
	}
	if moved > 0 {
		f.add(Change, place, "requests with them count against the quota of the other account, and can't continue turns of this one",
			"account %q loses %s to other accounts", id, count(moved, "key"))
	}
	if added > 0 {
		f.add(Change, place, "new keys are accepted once the version is in force", "account %q gains %s", id, count(added, "key"))
	}
}

func (f *findings) compareAccount(i int, before, after clientaccount.Account) {
	priorityEffect := "under load its requests are refused earlier"
	if after.Priority < before.Priority {
		priorityEffect = "under load its requests are refused later"
	}
	changed(f, AccountPlace{i, Priority}, fmt.Sprintf("the priority of account %q", after.ID), before.Priority, after.Priority, priorityEffect)
	if before.Quota == after.Quota || !before.Quota.Limited() && !after.Quota.Limited() {
		return
	}
	verb, effect := "raised", "more of its requests run"
	lowerRate := after.Quota.Limited() && (!before.Quota.Limited() || after.Quota.Rate < before.Quota.Rate)
	lowerBurst := after.Quota.Limited() && before.Quota.Limited() && after.Quota.Burst < before.Quota.Burst
	switch {
	case lowerRate && !lowerBurst && before.Quota.Limited() && after.Quota.Burst > before.Quota.Burst,
		lowerBurst && after.Quota.Rate > before.Quota.Rate:
		verb, effect = "changed", "requests beyond the new rate and burst are refused with 429"
	case lowerRate || lowerBurst:
		verb, effect = "lowered", "requests beyond it are refused with 429"
	}
	f.add(Change, AccountPlace{i, Rate}, effect, "the quota of account %q is %s from %s to %s", after.ID, verb, describeQuota(before.Quota), describeQuota(after.Quota))
}

func describeQuota(q clientaccount.Quota) string {
	if !q.Limited() {
		return "no limit"
	}
	return fmt.Sprintf("a rate of %v/s with a burst of %d", q.Rate, q.Burst)
}
