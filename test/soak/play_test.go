package soak

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	operatorsTable   = "op"
	configurationKey = "config"
	readyWithin      = 30 * time.Second
	// endsWithin is when accepted jobs have to have ended after the last fault.
	endsWithin  = 30 * time.Second
	mostVictims = 8
)

// play is one play of a plan.
type play struct {
	plan      *plan
	program   string
	folder    string
	net       *network
	record    *record
	store     *store
	instances []*instance
	ctx       context.Context // ends when the play ends

	mu      sync.Mutex // guards the fields below
	workers []*worker  // their newest lives
	lives   []int
	version int // of the configuration

	// favored is an instance that gets more than its share of calls, if any.
	favored atomic.Pointer[instance]
	faults  sync.WaitGroup
	stops   []func()
}

// newPlay starts the stand-ins and the processes, and waits until all are ready.
func newPlay(ctx context.Context, p *plan, program, folder string) (*play, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	c := newRecord()
	y := &play{
		plan: p, program: program, folder: folder, net: n, record: c, store: newStore(c), ctx: ctx,
		workers: make([]*worker, workerCount), lives: make([]int, workerCount),
	}
	y.stops = append(y.stops, func() { _ = n.guard.Close() })
	for _, j := range p.Jobs {
		c.jobs[j.ID] = j
	}
	y.store.Put(operatorsTable, configurationKey, configuration(0))
	for k, zone := range instanceZones {
		y.instances = append(y.instances, &instance{play: y, host: firstInstance + k, name: fmt.Sprintf("instance-%d", k), zone: zone})
	}
	return y, y.fill()
}

func (y *play) fill() error {
	for _, i := range y.instances {
		for _, port := range []int{servicePort, otherStorePort} {
			if err := y.keep(y.net.listen(pair{i.host, storeHost}, port, y.store.door(i.host))); err != nil {
				return err
			}
		}
		for _, other := range y.instances {
			if other != i {
				if err := y.keep(y.net.proxy(pair{i.host, other.host}, peersPort)); err != nil {
					return err
				}
			}
		}
	}
	for n := range workerCount {
		if err := y.revive(n); err != nil {
			return err
		}
	}
	for _, i := range y.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for limit := time.Now().Add(readyWithin); time.Now().Before(limit); {
		ready := 0
		for _, i := range y.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(y.instances) && y.leader() != nil {
			return nil
		}
		if !y.sleep(50 * time.Millisecond) {
			return y.ctx.Err()
		}
	}
	return fmt.Errorf("the instances don't become ready")
}

func (y *play) keep(stop func(), err error) error {
	if err == nil {
		y.stops = append(y.stops, stop)
	}
	return err
}

// sleep returns false if the play ended before.
func (y *play) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return y.ctx.Err() == nil
	case <-y.ctx.Done():
		return false
	}
}

// revive starts the next life of a worker, unless one lives.
func (y *play) revive(n int) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	if old := y.workers[n]; old != nil && !old.isGone() {
		return nil
	}
	var w *worker
	var err error
	for range 100 { // the listeners of the life before may just be closing
		if w, err = newWorker(y, n, y.lives[n]+1); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		y.lives[n]++
		y.workers[n] = w
	}
	return err
}

func (w *worker) isGone() bool {
	w.play.record.mu.Lock()
	defer w.play.record.mu.Unlock()
	return w.gone
}

func (y *play) worker(n int) *worker {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.workers[n]
}

// leader returns the instance that the row of the lease names, or nil.
func (y *play) leader() *instance {
	leader, _ := y.store.leader()
	for _, i := range y.instances {
		if i.addr(peersPort) == leader {
			return i
		}
	}
	return nil
}

// run plays the plan to its end, and checks what was seen.
func (y *play) run() []finding {
	start := time.Now()
	callers := newCaller(y)
	go func() {
		for _, j := range y.plan.Jobs {
			if !y.sleep(j.At - time.Since(start)) {
				return
			}
			callers.jobs.Go(func() { callers.follow(j) })
		}
	}()
	for _, e := range y.plan.Events {
		if !y.sleep(e.At - time.Since(start)) {
			break
		}
		y.faults.Go(func() { y.inject(e) })
	}
	y.sleep(y.plan.Length - time.Since(start))
	y.faults.Wait()
	y.heal()
	for limit := time.Now().Add(endsWithin); time.Now().Before(limit) && y.waiting() > 0 && y.ctx.Err() == nil; {
		y.sleep(100 * time.Millisecond)
	}
	y.sleep(asksWhenDone * askPause) // what starts after the end shows
	return y.record.check()
}

// waiting returns how many accepted jobs haven't been shown as ended.
func (y *play) waiting() int {
	y.record.mu.Lock()
	defer y.record.mu.Unlock()
	n := 0
	for _, j := range y.record.jobs {
		if !j.accepted.IsZero() && j.final == "" {
			n++
		}
	}
	return n
}

// heal ends all disturbances.
func (y *play) heal() {
	y.net.heal()
	y.store.heal()
	for _, i := range y.instances {
		i.signal(syscall.SIGCONT)
		y.must(i.start())
	}
	for n := range workerCount {
		y.must(y.revive(n))
	}
}

func (y *play) must(err error) {
	if err != nil {
		y.record.find("HARNESS", "%v", err)
	}
}

// close ends all that was started.
func (y *play) close() {
	for _, i := range y.instances {
		i.kill()
	}
	for _, w := range y.workers {
		if w != nil {
			w.crash()
		}
	}
	for _, stop := range y.stops {
		stop()
	}
}

// targets returns the instances that an event aims at.
func (y *play) targets(e event) []*instance {
	var list []*instance
	for _, n := range e.Instances {
		list = append(list, y.instances[n])
	}
	if leader := y.leader(); e.Leader && leader != nil {
		for n, i := range list {
			if i == leader {
				list[0], list[n] = list[n], list[0]
				return list
			}
		}
		list[0] = leader
	}
	return list
}

// inject plays one event to its end.
func (y *play) inject(e event) {
	list := y.targets(e)
	hosts := make([]int, 0, len(list))
	for _, i := range list {
		hosts = append(hosts, i.host)
	}
	if len(hosts) == 0 {
		for _, i := range y.instances {
			hosts = append(hosts, i.host)
		}
	}
	began := time.Now()
	y.record.disturbed(began, began.Add(e.For))
	y.record.mu.Lock()
	y.record.count("faults "+string(e.Kind), 1)
	y.record.mu.Unlock()
	until := began.Add(e.For)
	switch e.Kind {
	case freeze, kill, killAll, stopSeries, hangup:
		y.injectProcess(e, list)
	case configure:
		y.mu.Lock()
		y.version++
		y.store.Put(operatorsTable, configurationKey, configuration(y.version))
		y.mu.Unlock()
	case storeSilent:
		y.store.silence(until)
	case storePart:
		y.store.change(hosts, func(f *storeFaults) { f.silent, f.part = until, uint32(e.Part) })
	case storeSlow:
		y.store.change(hosts, func(f *storeFaults) { f.slow, f.delay = until, e.Delay })
	case storeLost:
		y.store.change(hosts, func(f *storeFaults) { f.lost, f.late = until, false })
	case storeLate:
		y.store.change(hosts, func(f *storeFaults) { f.lost, f.late = until, true })
		y.record.disturbed(began, until.Add(6*time.Second))
	case storeRefuse:
		y.store.change(hosts, func(f *storeFaults) { f.refused = until })
	case storeNotes:
		y.store.change(hosts, func(f *storeFaults) { f.notes, f.noteDelay = until, 3*e.Delay })
	case storeCompact:
		y.store.Compact()
	case storeCut, peersCut, pairCut, zoneCut:
		y.injectCut(e, list)
	case workersCut, workersLate, workersLost, workersCrash, workersLeave:
		y.injectWorkers(e, hosts, until)
	case power:
		y.injectPower(e)
	case usurp:
		y.injectUsurp(e, list[0])
	case orphans:
		y.injectOrphans(e, list[0], until)
	}
	y.record.disturbed(began, time.Now())
}

// injectProcess plays signals.
func (y *play) injectProcess(e event, list []*instance) {
	switch e.Kind {
	case freeze:
		list[0].signal(syscall.SIGSTOP)
		y.sleep(e.For)
		list[0].signal(syscall.SIGCONT)
	case kill:
		list[0].kill()
		y.sleep(e.For)
		y.must(list[0].start())
	case killAll:
		y.killAll(e.For)
	case stopSeries:
		for _, i := range list {
			i.stop()
			y.must(i.start())
			y.sleep(e.For)
		}
	case hangup:
		for _, i := range y.instances {
			i.reload()
		}
	}
}

func (y *play) killAll(pause time.Duration) {
	for _, i := range y.instances {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range y.instances {
		i.kill()
	}
	y.sleep(pause)
	for _, i := range y.instances {
		y.must(i.start())
	}
}

// injectCut plays links between instances, and to the store.
func (y *play) injectCut(e event, list []*instance) {
	var pairs []pair
	switch e.Kind {
	case peersCut:
		pairs = y.peerPairs(list[0])
	case pairCut:
		pairs = []pair{{list[0].host, list[1].host}, {list[1].host, list[0].host}}
	case storeCut:
		for _, i := range list {
			pairs = append(pairs, pair{i.host, storeHost})
		}
	case zoneCut:
		pairs = y.zonePairs(fmt.Sprintf("zone-%d", e.Part))
	}
	y.cut(pairs, e)
}

// zonePairs returns the links between a zone and all else.
func (y *play) zonePairs(zone string) []pair {
	var pairs []pair
	for _, i := range y.instances {
		inside := i.zone == zone
		if inside {
			pairs = append(pairs, pair{i.host, storeHost})
		}
		for _, other := range y.instances {
			if inside != (other.zone == zone) {
				pairs = append(pairs, pair{i.host, other.host})
			}
		}
		for n := range workerCount {
			if inside != (y.worker(n).zone == zone) {
				pairs = append(pairs, pair{i.host, firstWorker + n})
			}
		}
	}
	return pairs
}

// cut disturbs links for the time of an event.
func (y *play) cut(pairs []pair, e event) {
	outward := pairs[0].caller // of a cut from all peers, the instance itself comes first
	for _, p := range pairs {
		m := e.Manner
		if e.Kind == peersCut && p.caller != outward {
			m = m.reversed()
		}
		defer y.net.link(p).set(m.state(e.Delay))()
		if m == reset {
			y.net.link(p).reset()
		}
	}
	y.sleep(e.For)
}

func (y *play) injectWorkers(e event, hosts []int, until time.Time) {
	switch e.Kind {
	case workersCut:
		var pairs []pair
		for _, n := range e.Workers {
			for _, host := range hosts {
				pairs = append(pairs, pair{host, firstWorker + n})
			}
			if len(hosts) == len(y.instances) {
				y.each([]int{n}, func(w *worker) { w.mutedUntil = until })
			}
		}
		y.cut(pairs, e)
	case workersLate, workersLost:
		y.each(e.Workers, func(w *worker) { w.fault = callFault{until, e.Kind == workersLate} })
		if e.Kind == workersLate {
			y.record.disturbed(time.Now(), until.Add(12*time.Second))
		}
	case workersCrash:
		for _, n := range e.Workers {
			y.worker(n).crash()
		}
		y.reviveLater(e.Workers, e.For)
	case workersLeave:
		for _, n := range e.Workers {
			y.worker(n).leave(drainTime + e.For)
		}
		y.record.disturbed(time.Now(), time.Now().Add(drainTime+2*e.For))
		y.reviveLater(e.Workers, drainTime+2*e.For)
	}
}

// each changes workers.
func (y *play) each(numbers []int, change func(*worker)) {
	for _, n := range numbers {
		w := y.worker(n)
		y.record.mu.Lock()
		change(w)
		y.record.mu.Unlock()
	}
}

func (y *play) reviveLater(numbers []int, after time.Duration) {
	y.sleep(after)
	for _, n := range numbers {
		y.must(y.revive(n))
	}
}

// injectUsurp keeps the leader from its peers and from the row of its lease for longer than others
// wait for it, while callers hand in at this instance.
func (y *play) injectUsurp(e event, leader *instance) {
	after := 2 * e.Delay
	y.record.disturbed(time.Now(), time.Now().Add(e.For+after))
	y.favored.Store(leader)
	defer y.favored.Store(nil)
	for _, p := range y.peerPairs(leader) {
		defer y.net.link(p).set(silent.state(0))()
	}
	for _, n := range e.Workers {
		for _, i := range y.instances {
			if i != leader {
				defer y.net.link(pair{i.host, firstWorker + n}).set(silent.state(0))()
			}
		}
	}
	end := time.Now().Add(e.For + after)
	y.store.change([]int{leader.host}, func(f *storeFaults) { f.silent, f.part = end, share(leaderPart) })
	if e.Manner == frozen {
		leader.signal(syscall.SIGSTOP)
	}
	y.sleep(e.For)
	leader.signal(syscall.SIGCONT)
	y.sleep(after)
}

// peerPairs returns the links between an instance and its peers.
func (y *play) peerPairs(i *instance) []pair {
	var pairs []pair
	for _, other := range y.instances {
		if other != i {
			pairs = append(pairs, pair{i.host, other.host}, pair{other.host, i.host})
		}
	}
	return pairs
}

// workersWith returns some workers for which a condition holds.
func (y *play) workersWith(holds func(*worker) bool) []int {
	var numbers []int
	for n := range workerCount {
		w := y.worker(n)
		y.record.mu.Lock()
		if holds(w) && len(numbers) < mostVictims {
			numbers = append(numbers, n)
		}
		y.record.mu.Unlock()
	}
	return numbers
}

// injectOrphans cuts off workers with work, and ends the leader.
func (y *play) injectOrphans(e event, leader *instance, until time.Time) {
	victims := y.workersWith(func(w *worker) bool { return len(w.running) > 0 })
	for _, n := range victims {
		for _, i := range y.instances {
			defer y.net.link(pair{i.host, firstWorker + n}).set(e.Manner.state(0))()
		}
	}
	y.each(victims, func(w *worker) { w.mutedUntil = until })
	y.sleep(e.Delay / 2)
	leader.kill()
	y.sleep(e.Delay)
	y.must(leader.start())
	y.sleep(time.Until(until))
}

// injectPower silences the store, and then ends all instances, and the workers with ends that
// nothing has stored.
func (y *play) injectPower(e event) {
	y.store.silence(time.Now().Add(e.For))
	if !y.sleep(e.For - 2*e.Delay) {
		return
	}
	victims := y.workersWith(func(w *worker) bool { return len(w.ends) > 0 })
	for _, n := range victims {
		y.worker(n).crash()
	}
	y.killAll(e.Delay)
	y.reviveLater(victims, 4*time.Second)
}
