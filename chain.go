package sassafrasspur

import (
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/accountresolver"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/admissioncontroller"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/admitter"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/authenticator"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/callreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/dispatcher"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/drainer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/manager"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/memoryclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/orderer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/quarantiner"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/quotaenforcer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/recorder"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/reporter"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/routematcher"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/subscriber"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// programChains returns the filter chains of the program API, each in the order in
// which requests pass through it. Requests that do not concern a program pass
// through authenticateOnly, all others through full.
func (n *Node) programChains() (authenticateOnly, full *chain.Chain) {
	s := n.settings
	engines := enginecaller.New(n.timers,
		enginecaller.WithFirstEventTimeout(s.Limits.FirstByte), enginecaller.WithIdleTimeout(s.Limits.BetweenBytes),
		enginecaller.WithCrossedCounter(n.meter.CountCrossedAnswer))
	services := servicecaller.New(n.timers, servicecaller.WithTimeout(s.Limits.FirstByte),
		servicecaller.WithCrossedCounter(n.meter.CountCrossedAnswer))
	programs := n.programAPI.programs
	authentication := authenticator.New(n.accounts())
	return chain.New(authentication), chain.New(
		authentication,
		callreporter.New(n.meter, n.log, n.timers),
		manager.New(programs, n.control.Snapshot),
		orderer.New(programs, n.control.Snapshot, n.timers, orderer.WithCallLimit(s.Limits.CallTime)),
		admitter.New(n.control, n.timers),
		recorder.New(programs),
		dispatcher.New(programs, n.timers, engines, services, n.programAPI.canceller),
	)
}

// ingressChain returns the filter chain of the ingress API, in the order in which
// requests pass through it.
func (n *Node) ingressChain() traffic.Handler {
	members := func() []snapshot.Member { return n.view().Members }
	keys := n.ingressAPI.keys
	return traffic.Chain(
		reporter.New(n.log.Zerolog(), n.meter, n.timers),
		routematcher.New(n.control.Snapshot, n.timers, subscriber.MaxAge(n.settings.Ingress.RoutesLimit)),
		accountresolver.New(keys),
		drainer.New(n.control.Snapshot, max(0, n.finishBy()-typicalRequestTime), n.finishBy()),
		admissioncontroller.New(n.control.Snapshot, n.meter, n.timers),
		quotaenforcer.New(n.ingressAPI.quotaTaker, n.log.Zerolog(), n.meter),
		turnrecorder.New(n.settings.Domain,
			granter.New(n.settings.VM, n.budgets, n.peers, n.timers, members), ledger.New(n.store, n.timers, ledger.WithKnownVersion(n.versions.Known)), n.timers,
			turnrecorder.WithConfirm(keys.Confirm)),
		memoryclaimer.New(),
		// A request is recognized by its whole body, which the turnrecorder composes.
		quarantiner.New(n.control, n.timers),
		forwarder.New(n.control, platform.NewReplicaCaller(n.ingressAPI.upstreamConnector), n.timers, forwarder.WithCheck(keys.Check)),
	)
}

func (n *Node) accounts() map[string]chain.Account {
	accounts := map[string]chain.Account{}
	for _, a := range n.settings.Accounts {
		accounts[a.Token.Reveal()] = a.Account
	}
	return accounts
}
