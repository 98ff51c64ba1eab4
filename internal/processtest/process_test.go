package processtest

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// process is a child process that has printed its ready line, a JSON object with
// its bound addresses.
type process struct {
	name     string
	command  *exec.Cmd
	log      string
	ready    map[string]any
	exited   chan struct{}
	exitCode atomic.Int32
}

// start runs a built command and waits for its ready line. A process that is still
// running at the end of the spec is killed.
func start(name, binary string, args ...string) *process {
	GinkgoHelper()
	p := &process{name: name, exited: make(chan struct{}), command: exec.Command(filepath.Join(binaries, binary), args...)}
	log, err := os.CreateTemp(binaries, name+"-*.log")
	Expect(err).NotTo(HaveOccurred())
	p.log, p.command.Stderr = log.Name(), log
	output, err := p.command.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(p.command.Start()).To(Succeed())
	line := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(output)
		text, _ := reader.ReadString('\n')
		line <- text
		// An entry VM writes its log to stdout after the ready line.
		_, _ = io.Copy(log, reader)
		_ = p.command.Wait()
		p.exitCode.Store(int32(p.command.ProcessState.ExitCode()))
		_ = log.Close()
		close(p.exited)
	}()
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			content, _ := os.ReadFile(p.log)
			AddReportEntry("log of "+name, lastLines(string(content), 30))
		}
		p.kill()
	})
	var text string
	Eventually(line).Should(Receive(&text))
	Expect(json.Unmarshal([]byte(text), &p.ready)).To(Succeed(), "ready line of "+name)
	return p
}

func lastLines(text string, n int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// addresses returns the bound addresses under a key of the ready line.
func (p *process) addresses(key string) []string {
	GinkgoHelper()
	switch value := p.ready[key].(type) {
	case string:
		return []string{value}
	case []any:
		var all []string
		for _, each := range value {
			all = append(all, each.(string))
		}
		return all
	}
	Fail("the ready line of " + p.name + " has no " + key)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// freeze suspends the process, like a VM that is not scheduled by its host.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate asks the process to shut down gracefully.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }
