package provisioner_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/provisioner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// parseMessage parses a line to a message. Orders have the form
// "kind:name:epoch".
func parseMessage(f goldentest.Fields) message.Message {
	order := func(text string) configuration.Order {
		words := strings.Split(text, ":")
		return configuration.Order{
			Upstream: "e1", Kind: configuration.OrderKind(words[0]), Name: words[1],
			Epoch: ident.Epoch(goldentest.Fields{"epoch": words[2]}.Int("epoch")),
		}
	}
	switch f["message"] {
	case "configuration":
		c := &configuration.Configuration{
			Version:   ident.Version(f.Int("version")),
			Upstreams: []configuration.Upstream{{ID: "e1", Address: f["address"]}},
		}
		for text := range strings.SplitSeq(f["orders"], ",") {
			c.Orders = append(c.Orders, order(text))
		}
		return message.ConfigurationRead{Configuration: c}
	case "members":
		var vms []ident.VMID
		for vm := range strings.SplitSeq(f["vms"], ",") {
			vms = append(vms, ident.VMID(vm))
		}
		return message.MembersListed{VMs: vms}
	case "done":
		done := message.OrderDone{OrderID: message.OrderID{Order: order(f["order"]), Address: f["address"]}}
		if f.Has("failed") {
			done.Err = errors.New("no answer")
		}
		return done
	}
	return message.Tick{}
}

// TestOrders guards against orders that are sent by a VM whose partition does not
// contain their upstream, sent concurrently to one address or never retried, and
// against an old order that is repeated after a later one replaced it.
func TestOrders(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	p := provisioner.New("self")
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		var outputs []string
		for _, e := range p.Handle(now, parseMessage(f)) {
			switch e := e.(type) {
			case effect.Order:
				outputs = append(outputs, fmt.Sprintf("send %s %s %d to %s", e.Order.Kind, e.Order.Name, e.Order.Epoch, e.Address))
			case effect.WakeAt:
				outputs = append(outputs, fmt.Sprint("wake in ", e.Time.Sub(now)))
			}
		}
		var view snapshot.Snapshot
		p.Describe(&view)
		return fmt.Sprintf("%s (%d open)", strings.Join(outputs, ", "), len(view.OpenOrders))
	})).To(Succeed())
}
