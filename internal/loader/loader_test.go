package loader_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

var update = flag.Bool("update", false, "rewrite golden files")

func TestLoader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loader")
}

var _ = Describe("Loader", func() {
	// Guards against a file that is half accepted, and against an error without
	// place or remedy.
	It("lists every problem", func() {
		const path = "testdata/files.txtar"
		archive, err := txtar.ParseFile(path)
		Expect(err).NotTo(HaveOccurred())
		last := &archive.Files[len(archive.Files)-1]
		var lines strings.Builder
		for _, file := range archive.Files[:len(archive.Files)-1] {
			result, err := loader.New().Parse(file.Name, file.Data)
			if err == nil {
				_, _ = fmt.Fprintf(&lines, "%s: %+v\n", file.Name, result)
				continue
			}
			Expect(result).To(BeZero())
			_, _ = fmt.Fprintln(&lines, err)
		}
		if *update {
			last.Data = []byte(lines.String())
			Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(Succeed())
		}
		Expect(lines.String()).To(Equal(string(last.Data)))
	})

	// Guards against examples that the daemon refuses.
	It("accepts the examples", func() {
		paths, _ := filepath.Glob("../../examples/*.toml")
		Expect(paths).To(HaveLen(2))
		for _, path := range paths {
			_, err := loader.New().Load(path)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// FuzzParse guards against a panic and against values out of bounds.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../../examples/padang_bersama.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("accounts = [1]\nplatform = [[2]]\n[a.b]\n'c' = {d = 1}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		result, err := loader.New().Parse("f", data)
		if err == nil && (result.Cluster.Shards < 1 || result.Cluster.Lease <= 0 || result.VM == "") {
			t.Fatalf("invalid settings accepted: %+v", result)
		}
		var problems loader.Problems
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Fatalf("error without problems: %v", err)
		}
	})
}

// describe returns the columns values, unit and default of a kind.
func describe(kind settings.Kind) string {
	switch kind := kind.(type) {
	case settings.Text:
		return fmt.Sprintf("string, %d to 256 bytes | | required", kind.Min)
	case settings.Choice:
		return fmt.Sprintf("%s | | `%s`", strings.Join(kind.Values, ", "), kind.Default)
	case settings.Address:
		return "IP address and port | | required"
	case settings.URL:
		return "URL with an IP address | | required"
	case settings.Duration:
		return fmt.Sprintf("%v to %v | string with a unit | `\"%v\"`", kind.Min, kind.Max, kind.Default)
	case settings.Integer:
		return fmt.Sprintf("%d to %d | %s | `%d`", kind.Min, kind.Max, kind.Unit, kind.Default)
	}
	return ""
}

// TestDocument guards against a page of settings that differs from the table.
func TestDocument(t *testing.T) {
	const path = "../../docs/settings.md"
	var page strings.Builder
	page.WriteString("# Settings\n\nMade from the table in `internal/settings`; to renew it run `go test ./internal/loader -update`.\n\n" +
		"| key | values | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, key := range settings.Keys() {
		_, _ = fmt.Fprintf(&page, "| `%s` | %s | %s |\n", key.Path, describe(key.Kind), key.Help)
	}
	if *update {
		if err := os.WriteFile(path, []byte(page.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(path)
	if err != nil || string(written) != page.String() {
		t.Fatalf("docs/settings.md is not current (%v); run with -update", err)
	}
}
