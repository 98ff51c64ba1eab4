package meter_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
)

// Guards against a number of series that grows with the accounts of a configuration, and
// against a large account that has no series because small ones came first.
var _ = It("names the largest accounts and counts the rest together", func() {
	m := meter.New()
	for i := range 30_000 {
		m.ObserveAccount(ident.AccountID(fmt.Sprint("small-", i)), "answered")
	}
	for range 25 {
		m.ObserveAccount("small-29999", "answered")
	}
	for range 2_000 {
		m.ObserveAccount("large", "answered")
	}
	m.ObserveAccount("", "unauthorized")
	text := render(m)
	Expect(strings.Count(text, "sassafrasspur_account_exchanges_total{")).To(Equal(3))
	Expect(text).To(ContainSubstring(`{account="large",outcome="answered"}`))
	Expect(text).To(ContainSubstring(`{account="none",outcome="unauthorized"} 1`))
	for i := range 40 {
		for range 3_000 {
			m.ObserveAccount(ident.AccountID(fmt.Sprint("medium-", i)), "answered")
		}
	}
	Expect(strings.Count(render(m), "sassafrasspur_account_exchanges_total{")).To(BeNumerically("<=", 24+2))
})
