package admissioncontroller_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
)

// TestLoadPatterns plays the load pattern that each file names. It guards against
// refusals while a pool has room, against requests that run although they can't end in
// time, against refusals of programs under way while first turns of new ones run, and
// against shedding that goes on after the load has fallen.
func TestLoadPatterns(t *testing.T) {
	paths, err := filepath.Glob("testdata/patterns/*.txtar")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			NewWithT(t).Expect(goldentest.Check(path, newPlayer().apply)).To(Succeed())
		})
	}
}
