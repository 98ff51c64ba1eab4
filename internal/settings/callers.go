package settings

import (
	"cmp"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Callers bounds what callers outside the operators' control can make a VM hold. A value
// of 0 stands for one that follows from the VM's memory and descriptors.
type Callers struct {
	RequestMemory  unit.Bytes
	ReservedMemory unit.Bytes
	SmallRequest   unit.Bytes
	Connections    int
	HeadTime       time.Duration
	BodyPace       time.Duration
	WritePace      time.Duration
}

const (
	// smallestMemory and smallestDescriptors are those of the smallest VMs in use.
	smallestMemory      unit.Bytes = 112 << 20
	smallestDescriptors            = 3075
	// connectionBytes is the memory of a connection: two buffers of net/http with 4 KB
	// each, and the stack of its goroutine. 1,800 of them took 14 MB.
	connectionBytes unit.Bytes = 20 << 10
	minConnections             = 64
)

// CallerLimits returns the limits with a value in place of each 0.
func (s *Settings) CallerLimits() Callers {
	c, memory := s.Callers, cmp.Or(s.Memory, smallestMemory)
	c.RequestMemory = cmp.Or(c.RequestMemory, memory*35/100)
	c.ReservedMemory = min(cmp.Or(c.ReservedMemory, c.RequestMemory/4), c.RequestMemory)
	c.SmallRequest = cmp.Or(c.SmallRequest, 128<<10)
	byMemory := int(memory * 15 / 100 / connectionBytes)
	c.Connections = max(minConnections, cmp.Or(c.Connections, min(cmp.Or(s.Descriptors, smallestDescriptors)/3, byMemory)))
	c.HeadTime = cmp.Or(c.HeadTime, 10*time.Second)
	c.BodyPace = cmp.Or(c.BodyPace, 10*time.Second)
	c.WritePace = cmp.Or(c.WritePace, 15*time.Second)
	return c
}

// OtherConnections returns the limit on the connections of each address that is not for
// requests.
func (c Callers) OtherConnections() int { return max(minConnections, c.Connections/4) }

// SoftMemoryLimit returns the limit that Go's collector keeps to. The rest is for the
// program's code and what the collector does not count.
func (s *Settings) SoftMemoryLimit() unit.Bytes { return cmp.Or(s.Memory, smallestMemory) * 75 / 100 }
