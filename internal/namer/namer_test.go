package namer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/namer"
)

// TestName guards against ids for which the store refuses every row, and against ids that
// share their rows.
func TestName(t *testing.T) {
	g := NewWithT(t)
	for _, plain := range []string{"", "a", "9c41d07be2a35f68", "a/b c~", strings.Repeat("x", 150)} {
		g.Expect(namer.Name(plain)).To(Equal(plain))
	}
	names := map[string]bool{}
	others := []string{strings.Repeat("x", 151), strings.Repeat("x", 20_000), "\xff", "\xfe", "\uFFFD", "é", "a\tb", "a\x7f"}
	for _, id := range others {
		name := namer.Name(id)
		names[name] = true
		g.Expect(len(name)).To(Equal(71), "%q", id)
		g.Expect(namer.Name(name)).To(Equal(name))
	}
	g.Expect(names).To(HaveLen(len(others)))
}
