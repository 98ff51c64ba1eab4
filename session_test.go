package sassafrasspur_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/engine"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/service"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// settingsText configures the node. The accounts, which it lacks, are appended.
const settingsText = `
vm = "vm1"
region = "noord"
domain = "noord-a"
caller_address = "127.0.0.1:0"
[platform]
store_address = "$store"
[freshness]
interval = "50ms"
[addresses]
retention = "1s"
[limits]
body_bytes = 4096
first_byte = "500ms"
`

// accounts returns the settings of two teams, each with a caller and an operator
// account. The token of an account is its id with a suffix.
func accounts() string {
	var b strings.Builder
	for _, team := range []string{"desk", "meals"} {
		for _, role := range []string{"caller", "operator"} {
			fmt.Fprintf(&b, "[[accounts]]\nid = \"%s-%s\"\ntoken = \"%s-%s-0123456789\"\nteam = \"%s\"\nrole = \"%s\"\n", team, role, team, role, team, role)
		}
	}
	return b.String()
}

// logBuffer collects the log lines of the node.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startNode starts a node with simulated upstreams and a simulated store. It returns
// the values of the variables that golden files use for their addresses, and the log.
func startNode(t *testing.T, g Gomega) (map[string]string, *logBuffer) {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	e, s := engine.New(engine.WithDecode(time.Millisecond, 0), engine.WithLoadLag(0), engine.WithFencing(true)),
		service.New(service.WithDuration(0), service.WithLoadLag(0))
	t.Cleanup(e.Close)
	t.Cleanup(s.Close)
	names := map[string]string{"$engine": serve(e.Handler()), "$service": serve(s.Handler())}
	store := rowstore.New()
	control := rowserver.NewControl(store)
	g.Expect(control.List(names["$engine"], false)).To(Succeed())
	g.Expect(control.List(names["$service"], false)).To(Succeed())
	names["$store"] = serve(control.Handler(rowserver.New(store)))
	path := filepath.Join(t.TempDir(), "vm1.toml")
	g.Expect(os.WriteFile(path, []byte(strings.NewReplacer(pairs(names)...).Replace(settingsText)+accounts()), 0o600)).To(Succeed())
	settings, err := loader.New().Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	logs := &logBuffer{}
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(*settings), sassafrasspur.WithLog(logs))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	left := make(chan error)
	go func() { left <- node.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		g.Expect(<-left).To(Succeed())
	})
	names["$node"] = node.CallerAddress()
	return names, logs
}

// pairs returns the names and their values as arguments of strings.NewReplacer.
func pairs(names map[string]string) []string {
	var list []string
	for name, address := range names {
		list = append(list, name, address)
	}
	return list
}

// volatile matches values that differ between runs.
var volatile = regexp.MustCompile(`"[a-z_]+_ms":[0-9]+|[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]+Z|[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}|127\.0\.0\.1:[0-9]+`)

// planID matches the plan id in the response that creates a plan.
var planID = regexp.MustCompile(`^\{"plan":"([^"]+)"`)

// send sends a request of a golden file and returns the status and body of the
// response. The first line of text has the token, the method and the URL, and the
// rest is the body. ${long} expands to 5,000 bytes.
func send(g Gomega, names map[string]string, text string) string {
	text = strings.NewReplacer(append(pairs(names), "${long}", strings.Repeat("x", 5000))...).Replace(text)
	head, body, _ := strings.Cut(text, "\n")
	words := strings.Fields(head)
	request, err := http.NewRequest(words[1], "http://"+words[2], strings.NewReader(strings.TrimSpace(body)))
	g.Expect(err).NotTo(HaveOccurred())
	if words[0] != "-" {
		request.Header.Set("Authorization", "Bearer "+words[0]+"-0123456789")
	}
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	if found := planID.FindSubmatch(answer); found != nil && response.StatusCode == http.StatusCreated {
		names["$plan"] = string(found[1])
	}
	return fmt.Sprintf("%d\n%s\n", response.StatusCode, strings.TrimSpace(volatile.ReplaceAllStringFunc(string(answer), func(s string) string {
		if name, _, ok := strings.Cut(s, ":"); ok && strings.HasPrefix(s, `"`) {
			return name + ":N"
		}
		return "V"
	})))
}

// TestSessions runs golden sessions against a complete node. It guards against teams
// that see or change what another team owns, orders that never reach an engine,
// outcomes that stay unknown, and invalid input whose error names no remedy or that
// disturbs other requests. The expected answer to a request whose name begins with
// "eventually" may take up to 5 s.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := NewWithT(t)
			archive, err := txtar.ParseFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			names, logs := startNode(t, g)
			g.Eventually(func() string { return send(g, names, "desk-operator GET $node/v1/status") }, "5s", "20ms").Should(HavePrefix("200"))
			for i := 0; i+1 < len(archive.Files); i += 2 {
				f := archive.Files[i]
				sendFile := func() string { return send(g, names, string(f.Data)) }
				want := string(archive.Files[i+1].Data)
				switch {
				case *update && strings.HasPrefix(f.Name, "eventually"):
					time.Sleep(3 * time.Second)
					archive.Files[i+1].Data = []byte(sendFile())
				case *update:
					archive.Files[i+1].Data = []byte(sendFile())
				case strings.HasPrefix(f.Name, "eventually"):
					g.Eventually(sendFile, "5s", "20ms").Should(Equal(want), f.Name)
				default:
					g.Expect(sendFile()).To(Equal(want), f.Name)
				}
			}
			g.Expect(logs.String()).NotTo(ContainSubstring("secret"), "the log contains request content of a caller")
			if *update {
				g.Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
			}
		})
	}
}
