package settings_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// Guards against documentation that differs from the table that the loader uses.
var _ = It("documents every key as in docs/settings.md", func() {
	const path = "../../docs/settings.md"
	if *update {
		Expect(os.WriteFile(path, []byte(settings.Document()), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.Document()).To(Equal(string(want)), "run with -update and review the diff")
})

// Guards against duplicate keys and keys without a unit, a purpose or bounds.
var _ = It("has one complete row for each key", func() {
	seen := map[string]bool{}
	for _, key := range settings.Keys() {
		Expect(seen).NotTo(HaveKey(key.Path()))
		seen[key.Path()] = true
		Expect(key.Unit).NotTo(BeEmpty(), key.Path())
		Expect(key.Purpose).NotTo(BeEmpty(), key.Path())
		Expect(settings.Bounds(key.Kind)).NotTo(BeEmpty(), key.Path())
	}
})

// Guards against secrets in log lines and dumps of the settings.
var _ = It("shows no secret", func() {
	s := settings.Settings{Accounts: []settings.Account{{Token: "s3cret"}}}
	marshalled, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		Expect(fmt.Sprintf(verb, s)).NotTo(Or(ContainSubstring("s3cret"), ContainSubstring(fmt.Sprintf("%x", "s3cret"))), verb)
	}
	Expect(string(marshalled)).NotTo(ContainSubstring("s3cret"))
	Expect(s.Accounts[0].Token.Reveal()).To(Equal("s3cret"))
})
