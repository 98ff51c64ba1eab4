package clientaccount_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
)

func key(i int) clientaccount.Key { return clientaccount.Key(fmt.Sprintf("key-of-account-%08d", i)) }

func entries(n int) []clientaccount.Entry {
	var all []clientaccount.Entry
	for i := range n {
		all = append(all, clientaccount.Entry{
			Account: clientaccount.Account{ID: ident.AccountID(fmt.Sprint("account-", i))}, Keys: []clientaccount.Key{key(i)},
		})
	}
	return all
}

// Guards against keys that appear in logs, errors or views.
func TestKeyIsRedacted(t *testing.T) {
	g := NewWithT(t)
	holder := struct{ Key clientaccount.Key }{"s3cret"}
	encoded, err := json.Marshal(holder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).NotTo(ContainSubstring("s3cret"))
	directory := clientaccount.NewDirectory([]clientaccount.Entry{{Keys: []clientaccount.Key{"s3cret"}}})
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		g.Expect(fmt.Sprintf(verb, holder)).NotTo(Or(ContainSubstring("s3cret"), ContainSubstring(fmt.Sprintf("%x", "s3cret"))), verb)
		g.Expect(fmt.Sprintf(verb, directory)).NotTo(ContainSubstring("s3cret"), verb)
	}
}

// BenchmarkFind measures one look-up among 10,000 accounts, and the memory of the directory.
func BenchmarkFind(b *testing.B) {
	all := entries(10_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	directory := clientaccount.NewDirectory(all)
	runtime.GC()
	runtime.ReadMemStats(&after)
	found := key(7_777)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := directory.Find(found); !ok {
			b.Fatal("key not found")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	runtime.KeepAlive(all)
}
