package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against defaults that callers inside the limits of a configuration meet: on the
// smallest VM 300 requests at once with header sections of 16 KB in 60 lines, one of them
// with a body of 4 MB, and 500 connections; and against limits that exceed the VM.
var _ = It("has defaults that callers inside the limits do not meet", func() {
	const (
		// head is the claim of such a header section: three copies and 256 bytes a line.
		head unit.Bytes = 3*(16<<10) + 60*256
		body unit.Bytes = 2 * (4 << 20)
	)
	for memory, descriptors := range map[unit.Bytes]int{0: 0, 112 << 20: 3075, 536 << 20: 10250} {
		s := settings.Settings{Memory: memory, Descriptors: descriptors}
		c := s.CallerLimits()
		Expect(300 * head).To(BeNumerically("<=", c.RequestMemory-c.ReservedMemory-body))
		Expect(head).To(BeNumerically("<=", c.SmallRequest))
		Expect(c.Connections).To(BeNumerically(">=", 500))
		Expect(c.ReservedMemory).To(BeNumerically(">=", 64*c.SmallRequest))
		Expect(c.RequestMemory).To(BeNumerically("<", s.SoftMemoryLimit()))
		if memory > 0 {
			Expect(s.SoftMemoryLimit()).To(BeNumerically("<", memory))
			Expect(c.Connections + 3*c.OtherConnections()).To(BeNumerically("<", descriptors))
		}
	}
})
