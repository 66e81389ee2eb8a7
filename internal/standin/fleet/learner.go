package fleet

import (
	"context"
	"iter"
	"net/netip"
	"slices"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/configuration"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

// The traffic of a balancer, as in the product: every digestInterval it sends
// digestsPerRound digests, and it tells spreadPeers others of a further version at once.
const (
	digestInterval  clock.Millis = 500
	digestsPerRound              = 32
	spreadPeers                  = 16
)

// learner learns of configurations in one incarnation of a balancer, from the store and from
// the other balancers. It runs the product's Follower as a coroutine, which ends each call
// with a request to the simulation and goes on when that resumes it.
type learner struct {
	balancer *balancerHost
	peers    *configuration.Peers
	// resumeFollower lets the Follower go on until its next request.
	resumeFollower func() (func(), bool)
	stopFollower   func()
	yield          func(func()) bool
	reply          reply
	// watch is the watch in progress, nil if none is. watchEpoch is the epoch of its
	// revision.
	watch      *watch
	watchEpoch store.Epoch
	fetching   bool
	// applied holds the versions that were put into effect.
	applied versionHistory
	// turn numbers the balancers that have got a digest.
	turn int
	// evacuations holds what the balancer knows of evacuated data centres, and requestKnown
	// which request of the operator it has last learned, for each data centre.
	evacuations  evacuation.Set
	requestKnown map[string]knownRequest
	// heard holds the balancers that have told their version. directivesTurn numbers the hosts
	// that have got directives in turn.
	heard          map[netip.Addr]bool
	directivesTurn int
	// directedAt is the time of the last directives to a sidecar that seemed to need them.
	directedAt map[*upstreamHost]clock.Millis
	// lastReport is the time at which a peer has last reported a further version.
	lastReport clock.Millis
}

// reply is what a request of the Follower results in.
type reply struct {
	document configuration.Document
	changed  bool
	err      error
}

func newLearner(b *balancerHost) *learner {
	l := &learner{
		balancer: b, peers: configuration.NewPeers(), heard: map[netip.Addr]bool{}, requestKnown: map[string]knownRequest{},
		directedAt: map[*upstreamHost]clock.Millis{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	follower := configuration.New(configuration.Config{
		Read: func(context.Context) (configuration.Document, error) {
			r := l.request(l.read)
			return r.document, r.err
		},
		Watch: func(_ context.Context, after store.Revision, wait clock.Millis) (configuration.Document, bool, error) {
			r := l.request(func() { l.startWatch(after, wait) })
			return r.document, r.changed, r.err
		},
		WatchTimeout:     l.watchTimeout,
		ApplyEvacuations: l.applyEvacuations,
		Apply: func(content []byte) error {
			version, err := strconv.ParseUint(string(content), 10, 64)
			if err == nil {
				l.apply(version, false)
			}
			return err
		},
		AvailabilityChanged: func(err error) {
			if err == nil {
				b.keeper.announceOutage()
			}
		},
		Rejected: func(err error) { b.cluster.recordViolation("balancer %d rejected a configuration: %v", b.index, err) },
		Sleep: func(ctx context.Context, d clock.Millis) error {
			l.request(func() { l.after(d, func() { l.resume(reply{}) }) })
			return ctx.Err()
		},
		Random: b.cluster.random.IntN,
	})
	next, stop := iter.Pull(iter.Seq[func()](func(yield func(func()) bool) {
		l.yield = yield
		_ = follower.Serve(ctx)
	}))
	l.resumeFollower, l.stopFollower = next, func() { cancel(); stop() }
	l.after(0, func() { l.resume(reply{}) })
	l.after(0, l.sendDigests)
	return l
}

// request makes the simulation carry out a request and waits for its reply.
func (l *learner) request(start func()) reply {
	if !l.yield(start) {
		return reply{err: context.Canceled}
	}
	return l.reply
}

// resume gives the Follower a reply and carries out its next request.
func (l *learner) resume(r reply) {
	l.reply = r
	if start, ok := l.resumeFollower(); ok {
		start()
	}
}

// after schedules run unless the incarnation has ended by then.
func (l *learner) after(d clock.Millis, run func()) {
	l.balancer.cluster.after(d, func() {
		l.balancer.whenRunning(func() {
			if l.balancer.learner == l {
				run()
			}
		})
	})
}

func (l *learner) read() {
	s := l.balancer.cluster.store
	var r reply
	l.balancer.timeline.add(l.balancer.cluster.now, "read")
	s.call(l.balancer.client, func(state *metadata.Store) {
		r.document = l.document(state.List(operatorPrefix, ""))
		r.document.Revision = l.revision(state.Revision())
	}, func(err error) {
		r.err = err
		l.responded(r)
		l.resume(r)
	})
}

// revision returns a revision in the store's epoch, or in none with the mutant EpochIgnored.
func (l *learner) revision(number uint64) store.Revision {
	if l.balancer.cluster.config.Mutant == EpochIgnored {
		return store.Revision{Number: number}
	}
	return store.Revision{Epoch: store.Epoch(l.balancer.cluster.store.state.Epoch()), Number: number}
}

func (l *learner) startWatch(after store.Revision, wait clock.Millis) {
	s := l.balancer.cluster.store
	w := &watch{client: l.balancer.client, after: after.Number}
	w.respond = func(events []metadata.Item, available bool, err error) {
		r := reply{err: err}
		if err == nil {
			r.changed, r.document = len(events) > 0, l.document(events)
			if !available && l.balancer.cluster.config.Mutant != CompactionIgnored {
				r.err = configuration.ErrCompacted
			}
		}
		l.after(s.delay(), func() { l.endWatch(w, r) })
	}
	l.watch, l.watchEpoch = w, after.Epoch
	l.balancer.timeline.add(l.balancer.cluster.now, "watch after revision %d of epoch %d", after.Number, after.Epoch)
	if after.Epoch < l.balancer.keeper.epoch && l.balancer.cluster.config.Mutant != EpochIgnored {
		l.after(0, func() { l.endWatch(w, reply{err: configuration.ErrRestored}) })
		return
	}
	s.call(l.balancer.client, func(*metadata.Store) { s.wait(w, wait) }, func(err error) {
		if err != nil {
			l.endWatch(w, reply{err: err})
		}
	})
}

// endWatch gives the Follower the reply to a watch, unless it has got one.
func (l *learner) endWatch(w *watch, r reply) {
	if l.watch != w {
		return
	}
	l.watch = nil
	l.balancer.timeline.add(l.balancer.cluster.now, "watch ended: changed %t, epoch %d, error %v", r.changed, r.document.Revision.Epoch, r.err)
	if r.err == nil {
		l.responded(r)
	}
	l.resume(r)
}

// responded records a response of the store.
func (l *learner) responded(r reply) {
	if r.err == nil {
		l.peers.StoreResponded(l.balancer.cluster.now)
		l.balancer.keeper.observe(r.document.Revision.Epoch)
	}
}

// endOutdatedWatch ends a watch whose revision belongs to an earlier epoch.
func (l *learner) endOutdatedWatch() {
	if w := l.watch; w != nil && l.watchEpoch < l.balancer.keeper.epoch && l.balancer.cluster.config.Mutant != EpochIgnored {
		l.after(0, func() { l.endWatch(w, reply{err: configuration.ErrRestored}) })
	}
}

// watchTimeout lets only the first balancers make short watches, as their rank among the
// live ones decides in the product.
func (l *learner) watchTimeout() clock.Millis {
	const readers = 6
	if l.balancer.index < readers {
		return configuration.ReaderWatch
	}
	return configuration.FollowerWatch
}

func (l *learner) apply(version uint64, fromPeer bool) {
	c := l.balancer.cluster
	if l.balancer.logic.SetTable(c.now, route.NewTable(c.store.configurations[version])) {
		l.applied.add(c.now, version)
		l.balancer.timeline.add(c.now, "version %d, from a peer: %t", version, fromPeer)
		l.peers.Applied(c.now, version, fromPeer)
		peers := c.random.Perm(len(c.balancers))
		l.sendVersion(peers[:min(len(peers), spreadPeers)])
	}
}

// sendDigests does the periodic work of a balancer: it tells the others its version, and
// fetches a newer one if that is due.
func (l *learner) sendDigests() {
	now := l.balancer.cluster.now
	l.sendVersion(l.nextPeers())
	l.announceEvacuations()
	l.fetch()
	if w := l.watch; w != nil && l.peers.StoreOverdue(now) {
		l.endWatch(w, reply{err: errStoreSilent})
	}
	l.balancer.keeper.announce()
	l.after(digestInterval, l.sendDigests)
}

// sendVersion tells the balancers with the given indexes the version in effect.
func (l *learner) sendVersion(indexes []int) {
	from, version := l.balancer.relayAddress.Addr(), l.balancer.logic.Table().Version()
	for _, i := range indexes {
		if other := l.balancer.cluster.balancers[i]; other != l.balancer && l.balancer.reaches(other) {
			other.receive(func() { other.learner.report(from, version) })
		}
	}
}

// nextPeers returns the balancers that get the next digest, in turn.
func (l *learner) nextPeers() []int {
	count := len(l.balancer.cluster.balancers)
	peers := make([]int, 0, digestsPerRound)
	for range min(digestsPerRound, count) {
		peers = append(peers, l.turn%count)
		l.turn++
	}
	return peers
}

// report records the version of another balancer.
func (l *learner) report(from netip.Addr, version uint64) {
	now := l.balancer.cluster.now
	l.greetBalancer(from)
	if newest, _, _ := l.peers.Behind(now); version > max(newest, l.balancer.logic.Table().Version()) {
		l.lastReport = now
	}
	l.peers.Report(now, from, version)
	l.fetch()
}

// fetch fetches a newer version from another balancer if that is due.
func (l *learner) fetch() {
	c := l.balancer.cluster
	if l.fetching || (c.config.Mutant == FetchDeferred && c.now-l.lastReport < digestInterval) {
		return
	}
	fetch, due := l.peers.Next(c.now)
	if !due {
		return
	}
	l.fetching = true
	l.balancer.timeline.add(c.now, "fetch of version %d from %s", fetch.Version, fetch.Peer)
	i := slices.IndexFunc(c.balancers, func(b *balancerHost) bool { return b.relayAddress.Addr() == fetch.Peer })
	l.after(clock.Millis(2+2*c.random.IntN(maxDelay)), func() {
		l.fetching = false
		if peer := c.balancers[i]; peer.up && l.balancer.reaches(peer) && peer.logic.Table() != nil {
			l.mergeEvacuations(transfer(peer.learner.evacuations.Records()))
			l.apply(peer.logic.Table().Version(), true)
		}
		l.peers.Ended(c.now, fetch)
	})
}
