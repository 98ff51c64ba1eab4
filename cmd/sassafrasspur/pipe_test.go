package main

import (
	"context"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a command that fails because the reader of its output, such as
// head, has closed the pipe.
func TestClosedPipe(t *testing.T) {
	g := NewWithT(t)
	read, write, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Close()).To(Succeed())
	var failures strings.Builder
	g.Expect(run(context.Background(), []string{"--help"}, strings.NewReader(""), write, &failures)).To(Equal(0))
	_, err = (&brokenPipeWriter{out: write}).Write([]byte("line\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(failures.String()).To(BeEmpty())
	g.Expect(write.Close()).To(Succeed())
}
