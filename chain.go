package sassafrasspur

import (
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/admitter"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/dispatcher"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/identifier"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/manager"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/meterer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/orderer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/recorder"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
)

// buildChain sets down the order in which every request passes the filters.
func (n *Node) buildChain() {
	s := n.settings
	engines := enginecaller.New(n.timers,
		enginecaller.WithFirstByte(s.Limits.FirstByte), enginecaller.WithBetween(s.Limits.BetweenBytes),
		enginecaller.WithCrossed(n.meter.CountCrossedAnswer))
	services := servicecaller.New(n.timers, servicecaller.WithLimit(s.Limits.FirstByte),
		servicecaller.WithCrossed(n.meter.CountCrossedAnswer))
	identify := identifier.New(n.accounts())
	n.identify = chain.New(identify)
	n.chain = chain.New(
		identify,
		meterer.New(n.meter, n.log, n.timers),
		manager.New(n.programs, n.control.Snapshot),
		orderer.New(n.programs, n.control.Snapshot, n.timers, orderer.WithCallLimit(s.Limits.CallTime)),
		admitter.New(n.control, n.timers),
		recorder.New(n.programs),
		dispatcher.New(n.programs, n.timers, engines, services, n.canceller),
	)
}

func (n *Node) accounts() map[string]chain.Account {
	accounts := map[string]chain.Account{}
	for _, a := range n.settings.Accounts {
		accounts[a.Token.Reveal()] = a.Account
	}
	return accounts
}
