package intentparser_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intentparser"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestParse guards against intents that are parsed only in part: if a misspelled
// key were ignored, the plan would change less than the operator asked for.
func TestParse(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		g := NewWithT(t)
		archive, err := txtar.ParseFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for i := 0; i+1 < len(archive.Files); i += 2 {
			batch, err := intentparser.Parse(string(archive.Files[i].Data))
			var got string
			for _, wanted := range batch.Intents {
				got += fmt.Sprintf("%T%+v\n", wanted, wanted)
			}
			if err != nil {
				g.Expect(failure.From(err).Kind).To(Equal(failure.InvalidRequest))
				got += err.Error() + "\n"
			}
			if *update {
				archive.Files[i+1].Data = []byte(got)
			}
			g.Expect(got).To(Equal(string(archive.Files[i+1].Data)), archive.Files[i].Name)
		}
		if *update {
			g.Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
		}
	}
}

// TestHostileTexts guards against texts that exhaust the stack or the CPU, which
// would crash the process for all callers, and against errors that are orders of
// magnitude longer than the text.
func TestHostileTexts(t *testing.T) {
	for name, text := range map[string]string{
		"too long":        strings.Repeat("#", 1<<20),
		"deep array":      "a = " + strings.Repeat("[", 60_000),
		"deep in strings": "a = " + strings.Repeat(`["]",`, 20_000),
		"deep table":      "a = " + strings.Repeat("{a=", 30_000),
		"long key":        strings.Repeat("a.", 60_000) + "a = 1",
		"long header":     "[" + strings.Repeat("a.", 60_000) + "a]",
		"many errors":     strings.Repeat("[[intent]]\n", 10_000),
	} {
		g := NewWithT(t)
		_, err := intentparser.Parse(text)
		g.Expect(failure.From(err).Kind).To(Equal(failure.InvalidRequest), name)
		g.Expect(len(err.Error())).To(BeNumerically("<", 64<<10), name)
	}
}

// FuzzParse guards against panics, errors without a line or a remedy, and intents
// on which the planner panics or returns an error without a remedy.
func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/intents.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(string(file.Data))
	}
	f.Add("[[intent]]\nkind = \"load_model\"\nupstream = \"\"\nmodel = '''\n'''")
	f.Fuzz(func(t *testing.T, text string) {
		batch, err := intentparser.Parse(text)
		var list intentparser.List
		if err != nil && (!errors.As(err, &list) || len(list) == 0) {
			t.Fatalf("%T: %v", err, err)
		}
		for _, e := range list {
			if e.Line < 0 || e.Line > strings.Count(text, "\n")+1 || !strings.Contains(e.Message, ";") {
				t.Fatalf("%+v", e)
			}
		}
		if err != nil {
			return
		}
		_, err = planner.Planner{Team: "desk"}.Plan(&configuration.Configuration{}, batch)
		if err != nil && !strings.Contains(err.Error(), ";") {
			t.Fatal(err)
		}
	})
}
