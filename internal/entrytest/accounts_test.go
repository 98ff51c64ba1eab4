package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// accountsRow returns a configuration whose route "look" is public, with accounts and
// their keys.
func accountsRow(version int, accounts map[string][]string) any {
	configuration := configurationRow(version).(map[string]any)
	configuration["routes"].([]any)[1].(map[string]any)["public"] = true
	tenants := []any{}
	for name, keys := range accounts {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	configuration["tenants"] = tenants
	return configuration
}

// sender sends requests with new ids and describes their answers and what the upstream
// received.
type sender struct {
	d    *deployment
	sent int
}

func (s *sender) send(path string, header map[string]string) string {
	s.sent++
	id := fmt.Sprint("keyed-", s.sent)
	all := map[string]string{"X-Attempt-Id": id, "X-Tenant": "forged"}
	for name, value := range header {
		all[name] = value
	}
	method := http.MethodPost
	if strings.HasPrefix(path, "/look/") {
		method = http.MethodGet
	}
	out := strings.Fields(s.d.send(s.d.vms[0], method, path, all, "in"))[0]
	for _, r := range s.d.replicas {
		for _, run := range r.Runs() {
			if string(run.Request) == id {
				out += fmt.Sprintf(" key=%s account=%s", run.Key, run.Account)
			}
		}
	}
	return out
}

func (s *sender) sendKey(path, key string) string {
	return s.send(path, map[string]string{"X-Key": key})
}

func (s *sender) sendTurn(id, previous, key string) string {
	return s.send("/chat/x", map[string]string{
		"X-Attempt-Id": id, "X-Key": key, "X-Program-Id": "program", "X-Token-Usage": "1,100", "X-Previous-Turn": previous,
	})
}

// Guards against requests that run without a valid key or after its removal, keys that
// reach an upstream, names of accounts that a caller sent, and turns that continue those of
// another account.
func TestEntryAccounts(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, g, 0)
	defer d.close(g)
	d.revocationLimit = 5 * time.Second
	d.putRow(g, "op", "config", accountsRow(2, map[string][]string{"a": {"key-a", "other-a"}, "b": {"key-b"}}))
	d.startVM(g, "vm-0")
	s := &sender{d: d}
	g.Eventually(func() string { return s.sendKey("/file/x", "key-a") }, 5*time.Second, 50*time.Millisecond).Should(Equal("200 key= account=a"))
	g.Expect(s.sendKey("/file/x", "unknown")).To(Equal("401"))
	g.Expect(s.sendKey("/file/x", "")).To(Equal("401"))
	g.Expect(s.sendKey("/look/x", "")).To(Equal("200 key= account="), "a public route")
	g.Expect(s.sendKey("/look/x", "unknown")).To(Equal("200 key= account="))
	g.Expect(s.sendKey("/look/x", "key-b")).To(Equal("200 key= account=b"))

	g.Expect(s.sendTurn("turn-1", "", "key-a")).To(HavePrefix("200"))
	g.Expect(s.sendTurn("turn-2", "turn-1", "key-b")).To(Equal("404"), "a turn of another account")
	g.Expect(s.sendTurn("turn-3", "turn-1", "other-a")).To(HavePrefix("200"))

	d.putRow(g, "op", "config", accountsRow(3, map[string][]string{"a": {"other-a"}, "b": {"key-b", "added"}}))
	g.Eventually(func() string { return s.sendKey("/file/x", "key-a") }, propagationLimit, 20*time.Millisecond).Should(Equal("401"))
	g.Expect(s.sendKey("/file/x", "added")).To(Equal("200 key= account=b"))
	g.Expect(s.sendTurn("turn-4", "turn-3", "other-a")).To(HavePrefix("200"))

	d.rowStore.Inject(func(bool) rowstore.Fault { return rowstore.Refuse{} })
	g.Eventually(func() string { return s.sendKey("/file/x", "added") }, 5*time.Second, 50*time.Millisecond).Should(Equal("503"), "the store may hold a newer configuration")
	g.Consistently(func() string { return s.sendKey("/file/x", "unknown") }, 500*time.Millisecond, 100*time.Millisecond).Should(Equal("503"))
	g.Expect(s.sendKey("/look/x", "added")).To(Equal("200 key= account="))
	d.rowStore.Inject(func(bool) rowstore.Fault { return nil })
	g.Eventually(func() string { return s.sendKey("/file/x", "added") }, 3*time.Second, 50*time.Millisecond).Should(Equal("200 key= account=b"))
	g.Expect(d.log.recentLines()).NotTo(Or(ContainSubstring("key-a"), ContainSubstring("other-a"), ContainSubstring(`"added"`)))
}

// Guards against headers of a deployment without accounts that are not passed on as the
// caller sent them.
func TestEntryWithoutAccounts(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, g, 1)
	defer d.close(g)
	s := &sender{d: d}
	g.Expect(s.sendKey("/file/x", "any")).To(Equal("200 key=any account=forged"))
}
