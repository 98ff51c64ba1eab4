package entrysettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/entrysettings"
)

// Guards against a VM that starts with settings that are misspelt, missing or
// can't work, and against a report of the first fault alone.
func TestLoad(t *testing.T) {
	g := NewWithT(t)
	archive, err := txtar.ParseFile("testdata/settings.txtar")
	g.Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(archive.Files); i += 2 {
		input, want := archive.Files[i], archive.Files[i+1]
		file := filepath.Join(t.TempDir(), input.Name)
		g.Expect(os.WriteFile(file, input.Data, 0o600)).To(Succeed())
		_, err := entrysettings.Load(file)
		got := "valid"
		if err != nil {
			got = strings.ReplaceAll(err.Error(), file, "FILE")
		}
		g.Expect(got).To(Equal(strings.TrimSpace(string(want.Data))), input.Name)
	}
}
