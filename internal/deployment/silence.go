package deployment

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Load: callers who submit while the store, or the part of it that their job belongs to, answers
// nobody. Each write that begins then may have taken effect, so its caller is told that the result
// is unknown and must not try another way. With dozens of instances each of them made that mistake
// once or more in every outage. A call that is overdue therefore starts a probe of the part by all
// routes; if none answers, the part is silent: hubs tell their leaves, and callers are refused
// before a call begins, with a time to come back.

const (
	// silenceProbeTimeout bounds a probe; silenceProbeFactor is the multiple of the average
	// latency that it takes at least, because a slow store is not silent.
	silenceProbeTimeout = 300 * time.Millisecond
	silenceProbeFactor  = 3
	// silenceProbeInterval is the interval at which a hub probes silent parts.
	silenceProbeInterval = 200 * time.Millisecond
	// silenceTTL is the time for which a hub's word counts; hubs repeat it in less than half of
	// that.
	silenceTTL            = 1500 * time.Millisecond
	silenceRepeatInterval = 500 * time.Millisecond
)

// The sources of notes about the store in messages between instances. The keys of their rows are
// parts of the product's table.
const (
	// noteStoreDoubted asks a hub to probe parts.
	noteStoreDoubted workload.Source = "store doubted"
	// noteStoreSilent and noteStoreAnswers are the findings of a hub, for the leaves of its zone. The
	// latter also makes other hubs try once more.
	noteStoreSilent  workload.Source = "store silent"
	noteStoreAnswers workload.Source = "store answers"
)

var storeChart = chart.MustLoad("store")

// The state of charts/store.json that decisions depend on, and its events.
const (
	stStoreSilent chart.State = "silent"

	storeOverdue    chart.Event = "overdue"
	storeUnanswered chart.Event = "unanswered"
	storeToldSilent chart.Event = "told_silent"
	storeAnswered   chart.Event = "answered"
	storeExpired    chart.Event = "expired"
)

// partSilence holds what an instance knows about one part.
type partSilence struct {
	state chart.State
	// since is the time at which the state was entered, toldAt the time of a hub's last word.
	since, toldAt time.Time
}

// silenceWatch holds what an instance knows about the parts of the product's table. It is safe for
// concurrent use.
type silenceWatch struct {
	mu    sync.Mutex
	parts map[string]*partSilence
	// hubsToldAt is the time at which the other hubs were last told that the store answers.
	hubsToldAt time.Time
}

func newSilenceWatch() *silenceWatch { return &silenceWatch{parts: make(map[string]*partSilence)} }

// apply applies an event to a part, and reports whether its state changed.
func (s *silenceWatch) apply(part string, event chart.Event, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(part)
	if event == storeToldSilent {
		p.toldAt = now
	}
	return p.apply(event, now)
}

func (s *silenceWatch) part(part string) *partSilence {
	p := s.parts[part]
	if p == nil {
		p = &partSilence{state: storeChart.Initial}
		s.parts[part] = p
	}
	return p
}

func (p *partSilence) apply(event chart.Event, now time.Time) bool {
	next, err := storeChart.Next(p.state, event)
	if err != nil {
		panic(err) // a test ensures that every state handles or ignores every event
	}
	changed := next != p.state
	if changed {
		p.state, p.since = next, now
	}
	return changed
}

// mayTellHubs reports whether the other hubs are to be told that the store answers, and counts them
// as told.
func (s *silenceWatch) mayTellHubs(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.hubsToldAt) < silenceProbeInterval {
		return false
	}
	s.hubsToldAt = now
	return true
}

// answered applies the answer to a call that began at start, and reports whether it ends a silence. A
// call that began before the silence proves nothing.
func (s *silenceWatch) answered(part string, start, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(part)
	wasSilent := p.state == stStoreSilent
	if wasSilent && start.Before(p.since) {
		return false
	}
	p.apply(storeAnswered, now)
	return wasSilent
}

// silent reports whether callers of a part are to be refused, and since when. A hub's word expires
// unless it is repeated; hub says whether this instance probes for itself.
func (s *silenceWatch) silent(part string, hub bool, now time.Time) (since time.Time, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(part)
	if p.state == stStoreSilent && !hub && now.Sub(p.toldAt) >= silenceTTL && now.Sub(p.since) >= silenceTTL {
		p.apply(storeExpired, now)
	}
	return p.since, p.state == stStoreSilent
}

// silentParts returns the parts that are silent.
func (s *silenceWatch) silentParts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for part, p := range s.parts {
		if p.state == stStoreSilent {
			list = append(list, part)
		}
	}
	slices.Sort(list)
	return list
}

// maxSilenceZone is the number of instances of an availability zone up to which silences are watched.
// The notes of a hub to all its leaves share the bounded peer calls with its hellos; in larger zones
// they displace them, and leaves without hellos read the whole table.
const maxSilenceZone = maxPeerCalls / 4

// watchesSilence reports whether this instance looks for silent parts of the store, and works around
// them.
func (i *Instance) watchesSilence() bool {
	zone := i.replica.zones("")[i.settings.AvailabilityZone]
	return i.settings.Tuning.enabled(mechSilenceWatch) && len(zone) <= maxSilenceZone
}

// storeOverdue is called when a call to a part has not been answered for longer than calls take.
func (i *Instance) storeOverdue(part string) {
	if i.watchesSilence() && i.silence.apply(part, storeOverdue, bootTime()) {
		i.sendStoreNote(noteStoreDoubted, []string{part}, i.zoneHubs())
		i.requestProbe(part)
	}
}

// requestProbe makes watchSilence probe a part. While the queue is full, the part stays doubted until
// a call to it is answered.
func (i *Instance) requestProbe(part string) {
	select {
	case i.probeRequests <- part:
	default:
	}
}

// storeAnsweredAt is called with the start of each call to a part that the store answered.
func (i *Instance) storeAnsweredAt(part string, start time.Time) {
	if i.silence.answered(part, start, bootTime()) {
		i.logger.Info("store answers", zap.String("part", part))
		i.resumeCalls(part)
		i.tellLeaves(noteStoreAnswers, []string{part})
		i.tellHubsOfAnswer(part)
	}
}

// tellHubsOfAnswer tells the other hubs that a part answers again, once for all parts that answer
// within the interval between two probes.
func (i *Instance) tellHubsOfAnswer(part string) {
	if !i.followsTable() || !i.silence.mayTellHubs(bootTime()) {
		return
	}
	i.sendStoreNote(noteStoreAnswers, []string{part}, i.peers.recent(func(v peerView) bool { return v.hub }))
}

// resumeCalls makes the calls in flight to a part that answers again try once more, and those to the
// parts that are still silent: one answer is a reason to expect others.
func (i *Instance) resumeCalls(part string) {
	i.store.resume(part)
	for _, silent := range i.silence.silentParts() {
		i.store.resume(silent)
	}
}

// watchSilence probes parts on request. A hub goes on while they are silent, and tells its leaves.
func (i *Instance) watchSilence(ctx context.Context) {
	ticker := time.NewTicker(silenceProbeInterval)
	defer ticker.Stop()
	toldAt := time.Time{}
	for {
		var parts []string
		select {
		case part := <-i.probeRequests:
			parts = append(parts, part)
		case <-ticker.C:
			if i.followsTable() {
				parts = i.silence.silentParts()
			}
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		found := i.probeParts(ctx, parts)
		if found && i.followsTable() {
			found = i.probeParts(ctx, i.doubtOtherParts()) || found
		}
		if now := bootTime(); i.followsTable() && (found || now.Sub(toldAt) >= silenceRepeatInterval) {
			toldAt = now
			i.tellLeaves(noteStoreSilent, i.silence.silentParts())
		}
	}
}

// doubtOtherParts returns the parts that are not known to be silent: one silent part is a reason to
// probe the others before callers meet them.
func (i *Instance) doubtOtherParts() []string {
	now := bootTime()
	var doubted []string
	for _, part := range partsOf(workload.SourceOwn) {
		if i.silence.apply(part, storeOverdue, now) {
			doubted = append(doubted, part)
		}
	}
	return doubted
}

// probeParts probes parts concurrently, and reports whether one of them is found silent.
func (i *Instance) probeParts(ctx context.Context, parts []string) bool {
	var found atomic.Bool
	var probes sync.WaitGroup
	for _, part := range parts {
		probes.Go(func() {
			if i.store.probe(ctx, part) || ctx.Err() != nil {
				return // the answer was applied
			}
			if i.silence.apply(part, storeUnanswered, bootTime()) {
				found.Store(true)
				metricSilences.Inc()
				i.logger.Warn("store silent", zap.String("part", part), zap.Bool("probed", true))
			}
		})
	}
	probes.Wait()
	return found.Load()
}

// tellLeaves sends a finding to the leaves of this hub's zone, and asks the other hubs to probe for
// themselves: the zone may be cut off.
func (i *Instance) tellLeaves(note workload.Source, parts []string) {
	if !i.followsTable() || len(parts) == 0 {
		return
	}
	own := i.settings.AvailabilityZone
	i.sendStoreNote(note, parts, i.peers.recent(func(v peerView) bool { return !v.hub && v.zone == own }))
	if note == noteStoreSilent {
		i.sendStoreNote(noteStoreDoubted, parts, i.peers.recent(func(v peerView) bool { return v.hub }))
	}
}

func (i *Instance) sendStoreNote(note workload.Source, parts, peers []string) {
	rows := make([]workload.Row, len(parts))
	for n, part := range parts {
		rows[n].Key = part
	}
	for _, id := range peers {
		if id != i.settings.Listen.Peers {
			i.peerCalls.Go(func() { i.sendRows(id, note, rows) })
		}
	}
}

// receiveStoreNote applies what another instance says about parts of the store.
func (i *Instance) receiveStoreNote(note workload.Source, parts []workload.Row) {
	if !i.watchesSilence() {
		return
	}
	now := bootTime()
	for _, row := range parts {
		part := row.Key
		if !slices.Contains(partsOf(workload.SourceOwn), part) {
			continue
		}
		switch note {
		case noteStoreDoubted:
			if i.followsTable() && i.silence.apply(part, storeOverdue, now) {
				i.requestProbe(part)
			}
		case noteStoreSilent:
			if i.silence.apply(part, storeToldSilent, now) {
				i.logger.Warn("store silent", zap.String("part", part), zap.Bool("probed", false))
			}
		case noteStoreAnswers:
			if i.followsTable() {
				i.resumeCalls(part) // only its own calls tell whether this hub is answered as well
			} else if i.silence.apply(part, storeAnswered, now) {
				i.resumeCalls(part)
			}
		}
	}
}

// refuseInSilence returns the error for callers of a silent part, or nil. Nothing has been sent to
// the store for them.
func (i *Instance) refuseInSilence(ctx context.Context, part string) error {
	now := bootTime()
	since, silent := i.silence.silent(part, i.followsTable(), now)
	if !silent {
		return nil
	}
	metricSilenceRefusals.Inc()
	return api.WithRetryAfter(api.NewError(api.KindStoreUnavailable, "the store's part %q answers no instance", part), i.retryAfterSilence(ctx, now.Sub(since)))
}

var (
	metricSilences        = metrics.NewCounter("corianderbank_deployment_store_silences_total")
	metricSilenceRefusals = metrics.NewCounter("corianderbank_deployment_store_silence_refusals_total")
)
