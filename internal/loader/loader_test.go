package loader_test

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// secret is part of every secret in the golden files.
const secret = "s3cret"

func TestLoader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loader")
}

// readCases returns the golden archive: settings files, each followed by its
// errors.
func readCases() (string, *txtar.Archive) {
	path := filepath.Join("testdata", "errors.txtar")
	archive, err := txtar.ParseFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(archive.Files) % 2).To(BeZero())
	return path, archive
}

// Guards against errors without a position or a remedy, errors that are reported
// only after others are corrected, and secrets in errors.
var _ = It("reports all errors of a file with their positions", func() {
	path, archive := readCases()
	for i := 0; i < len(archive.Files); i += 2 {
		input, want := archive.Files[i], &archive.Files[i+1]
		_, err := loader.New().Parse(input.Name, string(input.Data))
		Expect(err).To(MatchError(errors.NotValid), input.Name)
		got := err.Error() + "\n"
		Expect(got).NotTo(ContainSubstring(secret), input.Name)
		if *update {
			want.Data = []byte(got)
		}
		Expect(got).To(Equal(string(want.Data)), input.Name+": run with -update and review the diff")
	}
	if *update {
		Expect(os.WriteFile(path, txtar.Format(archive), 0o600)).To(Succeed())
	}
})

// Guards against examples that the daemon rejects.
var _ = It("loads the examples", func() {
	for name, team := range map[string]string{"padang_bersama": "padang_bersama", "schoolmaal_loket": "schoolmaal_loket"} {
		s, err := loader.New().Load("../../examples/" + name + ".toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Accounts).NotTo(BeEmpty())
		for _, account := range s.Accounts {
			Expect(string(account.Team)).To(Equal(team))
		}
	}
})

// section matches a section of the template that the platform renders if it has a value.
var section = regexp.MustCompile(`(?s)\{\{#bounds\.\w+\}\}(.*?)\{\{/bounds\.\w+\}\}`)

// fillTemplate fills in the values of the platform.
func fillTemplate(template string) string {
	return strings.NewReplacer(
		"{{nodeName|json}}", `"edge-1"`, "{{zone|json}}", `"kl-a"`, "{{region|json}}", `"semenanjung"`,
		"{{ip}}", "127.0.0.1", "{{limits.memoryMb}}", "536", "{{limits.maxFds}}", "10250", "{{internalPorts.0}}", "7380", "{{platform.address|json}}", `"127.0.0.1:8142"`,
		"{{listen.front|json}}", `"127.0.0.1:1"`, "{{listen.ready|json}}", `"127.0.0.1:2"`,
		"{{listen.directory|json}}", `"127.0.0.1:3"`, "{{bounds.graceS}}", "8", "{{bounds.drainMs}}", "4000", "{{bounds.configApplyMs}}", "3000",
		"{{bounds.revokeMs}}", "5000", "{{bounds.quotaWindowS}}", "10", "{{bounds.quotaOverage}}", "1", "{{bounds.quotaSlack}}", "30",
		"{{#zones}}\n", "", "{{/zones}}\n", "", "{{@}} = {{.|json}}", `kl-a = "semenanjung"`,
	).Replace(template)
}

// Guards against a settings template for the users' platform that the daemon
// rejects, or that maps a value of the platform to the wrong key.
var _ = It("loads the template of the platform", func() {
	template, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	Expect(err).NotTo(HaveOccurred())
	absent := fillTemplate(section.ReplaceAllString(string(template), ""))
	Expect(absent).NotTo(Or(ContainSubstring("revocation"), ContainSubstring("quota")))
	s, err := loader.New().Parse("settings.toml", absent)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Ingress.RevocationLimit).To(BeZero())
	Expect([]any{s.Ingress.QuotaWindow, s.Ingress.QuotaOverage, s.Ingress.QuotaSlack}).To(Equal([]any{5 * time.Second, unit.Ratio(0.1), 20}))
	s, err = loader.New().Parse("settings.toml", fillTemplate(section.ReplaceAllString(string(template), "$1")))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Ingress.RevocationLimit).To(Equal(5 * time.Second))
	Expect([]any{s.Ingress.QuotaWindow, s.Ingress.QuotaOverage, s.Ingress.QuotaSlack}).To(Equal([]any{10 * time.Second, unit.Ratio(1), 30}))
	Expect(s.CallerAddress.IsValid()).To(BeFalse())
	Expect(s.Ingress.Requests.String()).To(Equal("127.0.0.1:1"))
	Expect(s.Ingress.Grace).To(Equal(8 * time.Second))
	Expect(s.Ingress.DrainLimit).To(Equal(4 * time.Second))
	Expect(s.Ingress.RoutesLimit).To(Equal(3 * time.Second))
	Expect(s.Regions).To(HaveKeyWithValue(ident.Domain("kl-a"), ident.Region("semenanjung")))
	Expect(s.PeerAddress.String()).To(Equal("127.0.0.1:7380"))
	Expect(s.Memory).To(BeEquivalentTo(536 << 20))
	Expect(s.Descriptors).To(Equal(10250))
})

// Guards against defaults that violate a bound or a rule, values that are stored
// in the wrong field, and choices that are listed but not implemented.
var _ = It("loads a file with required keys only", func() {
	text, err := os.ReadFile("testdata/minimal.toml")
	Expect(err).NotTo(HaveOccurred())
	s, err := loader.New().Parse("minimal.toml", string(text))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Freshness.Upstreams).To(Equal(5 * time.Second))
	Expect(s.Freshness.Interval).To(Equal(time.Second))
	Expect(s.Addresses.Count).To(Equal(4))
	Expect(s.Placement.Policy).To(Equal(router.LowestCost{}))
	Expect(s.CallerAddress.String()).To(Equal("127.0.0.1:0"))
	Expect(s.Platform.StoreAddress.String()).To(Equal("127.0.0.1:1"))
	for _, policy := range []string{"product", "round_robin", "least_loaded", "cache_affinity", "fcfs"} {
		s, err := loader.New().Parse("minimal.toml", string(text)+"\n[placement]\npolicy = \""+policy+"\"\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Placement.Policy).NotTo(BeNil())
		Expect(s.Placement.Policy.String()).To(Equal(policy))
	}
	for _, level := range []string{"debug", "info", "warn", "error"} {
		s, err := loader.New().Parse("minimal.toml", "log_level = \""+level+"\"\n"+string(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.LogLevel.String()).To(Equal(level))
	}
})

// Guards against settings files that exhaust memory or overflow the stack.
var _ = It("refuses files that are too long or missing", func() {
	_, err := loader.New(loader.WithMaxBytes(10)).Parse("f", "vm = \"a-long-name\"")
	Expect(err).To(MatchError(ContainSubstring("f:1: the file is too long")))
	_, err = loader.New().Load("testdata/missing.toml")
	Expect(err).To(MatchError(ContainSubstring("check the path")))
	for _, deep := range []string{"a = " + strings.Repeat("[\n", 1<<20), strings.Repeat("a.", 1<<20) + "a = 1", "[a" + strings.Repeat(".a", 1<<20), "a = " + strings.Repeat("{a=", 1<<20)} {
		_, err = loader.New().Parse("f", deep)
		Expect(err).To(MatchError(ContainSubstring("nested too deeply")))
	}
})

// Guards against panics and errors without a position in the file.
func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/errors.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(string(file.Data))
	}
	f.Add("a=\"\"\"x\n\"\"\"\"\"\n[[a.b]]\n[a.b.c]\nd.'e' = [{f=1},\n{g=[2]}]")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := loader.New().Parse("fuzz.toml", text)
		if err == nil {
			return
		}
		problems, ok := err.(loader.Problems) //nolint:errorlint // Parse guarantees the type, without wrapping
		if !ok || len(problems) == 0 {
			t.Fatalf("%T: %v", err, err)
		}
		for _, p := range problems {
			if p.File != "fuzz.toml" || p.Line < 1 || p.Line > strings.Count(text, "\n")+1 || p.Message == "" || strings.Contains(p.Error(), "\n") {
				t.Fatalf("%+v", p)
			}
		}
	})
}
