package dispatch

import (
	"math"
	"slices"
	"time"
)

// Speeds are learned for deployments whose workers take different times for the same task. There a
// slow worker makes work late that started in time, and its run times mislead the estimates of all
// other work. The tasks of a step are alike, so the progress of its runs is compared within the
// step: a wrong declaration affects all of them equally and cancels out. Progress is measured
// between two reports, so that a new leader learns from the runs that it finds. Speeds are
// logarithms, because they vary by factors, and relative to the usual speed, which is 0.

const (
	// maxPrecision bounds the inverse variance of what earlier runs showed, so that a worker may
	// become slow or fast.
	maxPrecision = 150
	// repeatedOutliers is the number of consecutive outliers in one direction after which a worker's
	// speed has changed.
	repeatedOutliers = 3
	// maxOutlierDeviation is the standard deviation of an observation up to which it counts as an
	// outlier: the runs that it is compared with may be the outliers.
	maxOutlierDeviation = 0.3
	// minObservedProgress is the progress in percent from which a run is observed. Reports round
	// to whole percents.
	minObservedProgress = 8
	// minObservedTime is the shortest time, on the worker's clock, over which progress is observed.
	minObservedTime = 300 * time.Millisecond
	// speedInterval is the time between two computations of the speeds, for each thousand workers.
	speedInterval = 500 * time.Millisecond
	// speedPasses is the number of passes of a computation: the speeds and the rates of the steps
	// depend on each other.
	speedPasses = 3
	// taskDeviation is the assumed standard deviation of the work of the tasks of one step;
	// taskDeviationWeight is the number of observations that the assumption counts as.
	taskDeviation       = 0.2
	taskDeviationWeight = 2
	// outlierDeviations is the number of standard deviations at which the weight of an observation
	// is halved: a few tasks take several times as long as the others of their step.
	outlierDeviations = 2
	// maxSpeed bounds an observed speed.
	maxSpeed = 1.2
	// initialSpeedVariance is the assumed variance of the speeds until minObservedWorkers workers
	// are observed.
	initialSpeedVariance = 0.1
	minObservedWorkers   = 8
	// unequalDeviation is the standard deviation of the speeds from which workers count as
	// unequal, equalDeviation the one below which they count as equal again.
	unequalDeviation = 0.12
	equalDeviation   = 0.08
	// usualSpeedRange is the deviation up to which a speed counts as the usual one.
	usualSpeedRange = 0.1
	// knownDeviation is the standard deviation up to which a speed counts as known.
	knownDeviation = 0.25
	// fastShare is one divided by the share of workers that is enough to count on their speed.
	fastShare = 8
)

// stepRate holds the rate of progress of a step's tasks on a worker of the usual speed, as the
// weighted sum of the logarithms of its observations.
type stepRate struct {
	weight, sum float64
	// endedWeight and endedSum are the sums of the runs that are over. Without them the runs in
	// progress would be compared with each other only, and the slow ones last longer.
	endedWeight, endedSum float64
	// variance is that of the single tasks.
	variance float64
	squares  float64
	count    int
	// pass is the pass to which the sums belong.
	pass int
}

// speedObservation is the progress observed for one run, as the logarithm of its rate. rounding is
// its variance due to the rounding of reports; weight and value are its part of the step's sums.
type speedObservation struct {
	step           *stepRate
	rate, rounding float64
	weight, value  float64
	// ended is set once the run is over.
	ended bool
}

// workerSpeed is what is known about the speed of a worker.
type workerSpeed struct {
	// observations are those of the runs in progress, and of runs that ended since the last
	// computation.
	observations []*speedObservation
	// settled is the weighted mean of what earlier runs showed, precision the sum of the weights.
	settled, precision float64
	// outliers counts the consecutive outliers among earlier runs, negative if they were slower.
	outliers int
	// value is the expected speed, shrunk towards the usual one, with its variance. factor is how
	// many times faster than usual that is, or 0 before the first computation.
	value, variance, factor float64
	// observed is the speed without shrinking, or 0 with infinite variance without observations.
	observed, observedVariance float64
}

// speeds holds what is known about the speeds of all workers.
type speeds struct {
	speedPrior
	// unequal is set while the speeds differ by more than their uncertainty explains.
	unequal bool
	// fastest is the speed, as a factor, that one in fastShare of the workers reaches.
	fastest    float64
	changed    bool
	pass       int
	computedAt time.Time
}

// observeStart records the worker's clock at the start of a run without a checkpoint. The progress
// of other runs is observed from their first report on.
func (c *Core) observeStart(r *run) {
	if r.checkpoint == "" && r.observedSinceMS == 0 {
		r.observedSinceMS = r.worker.clockMS
	}
}

// observeCompletion records the rate of a task that was too short for its reports.
func (c *Core) observeCompletion(r *run) {
	elapsed := c.now.Sub(r.since)
	if r.observation != nil || r.gang != nil || r.initialPercent > 0 || r.checkpoint != "" || elapsed < minObservedTime {
		return
	}
	c.observe(r, 100, elapsed)
}

// observeProgress records the progress that a worker reports for a run.
func (c *Core) observeProgress(r *run, percent int) {
	w := r.worker
	if percent >= 100 || r.stopping() || w.clockMS == 0 {
		return
	}
	if r.observedSinceMS == 0 {
		r.observedSinceMS, r.observedSince = w.clockMS, percent
		return
	}
	progress := float64(percent - r.observedSince)
	elapsed := time.Duration(w.clockMS-r.observedSinceMS) * time.Millisecond
	if progress < minObservedProgress || elapsed < minObservedTime {
		return
	}
	c.observe(r, progress, elapsed)
}

func (c *Core) observe(r *run, progress float64, elapsed time.Duration) {
	if r.observation == nil {
		s := r.task.step
		if s.rate == nil {
			s.rate = &stepRate{variance: taskDeviation * taskDeviation}
		}
		r.observation = &speedObservation{step: s.rate}
		r.worker.speed.observations = append(r.worker.speed.observations, r.observation)
	}
	r.observation.rate = math.Log(progress/elapsed.Seconds()) + c.logRemoteness(r)
	r.observation.rounding = 1 / (progress * progress)
	c.speeds.changed = true
}

// logRemoteness returns the logarithm of the factor by which a run takes longer because its data is
// on another rack.
func (c *Core) logRemoteness(r *run) float64 {
	if rack := r.task.step.spec.DataRack; rack == "" || rack == r.worker.Rack || c.bounds.RemoteFactor <= 1 {
		return 0
	}
	return math.Log(c.bounds.RemoteFactor)
}

// endObservation marks the observation of a run that is over.
func (c *Core) endObservation(r *run) {
	if r.observation != nil {
		r.observation.ended = true
		c.speeds.changed = true
	}
}

// learnSpeeds computes the speeds if there are new observations.
func (c *Core) learnSpeeds() {
	interval := speedInterval * time.Duration(1+len(c.fleet)/1000)
	if !c.speeds.changed || c.now.Sub(c.speeds.computedAt) < interval || !c.enabled(MechWorkerSpeeds) {
		return
	}
	c.speeds.changed, c.speeds.computedAt = false, c.now
	for range speedPasses {
		c.computeStepRates()
		for _, w := range c.fleet {
			w.speed.compute(&c.speeds.speedPrior)
		}
		c.centerSpeeds()
	}
	c.compareSpeeds()
	c.findKinds()
	for _, w := range c.fleet {
		w.speed.setFactor()
		w.speed.settle()
	}
	c.correctRunTimes()
	c.estimates.observations++ // the expected run times depend on the speeds
}

// computeStepRates computes the rates of the steps from the speeds of the workers.
func (c *Core) computeStepRates() {
	c.speeds.pass++
	for _, w := range c.fleet {
		for _, o := range w.speed.observations {
			s := o.step
			if s.pass != c.speeds.pass {
				s.finishVariance()
				s.pass, s.weight, s.sum = c.speeds.pass, s.endedWeight, s.endedSum
			}
			o.value = o.rate - w.speed.reference(c.speeds.variance)
			o.weight = 1 / (s.variance + o.rounding + w.speed.variance)
			s.weight += o.weight
			s.sum += o.weight * o.value
		}
	}
}

// finishVariance computes the variance of a step's tasks from the residuals of the last pass.
func (s *stepRate) finishVariance() {
	if s.count > 0 {
		s.variance = (taskDeviationWeight*taskDeviation*taskDeviation + s.squares) / (taskDeviationWeight + float64(s.count))
	}
	s.squares, s.count = 0, 0
}

// reference returns the speed with which a worker takes part in the comparisons of others. Once it
// is well observed it is not shrunk: steps whose runs are all on slow workers would otherwise make
// them faster with each computation.
func (s *workerSpeed) reference(speedVariance float64) float64 {
	if s.isObserved() && s.observedVariance < speedVariance/4 {
		return s.observed
	}
	return s.value
}

// evidence returns the speed that an observation shows, from the rates of the other runs of its
// step, and the variance of that. It returns false if there are no others.
func (o *speedObservation) evidence() (speed, variance float64, ok bool) {
	others := o.step.weight - o.weight
	if others <= minOthersWeight {
		return 0, 0, false
	}
	speed = o.rate - (o.step.sum-o.weight*o.value)/others
	return max(-maxSpeed, min(maxSpeed, speed)), o.step.variance + o.rounding + 1/others, true
}

// outlierScore returns the squared residual of an observation relative to that of an outlier.
func outlierScore(residual, variance float64) float64 {
	return residual * residual / (outlierDeviations * outlierDeviations * variance)
}

// compute computes a worker's speed from earlier and present runs.
func (s *workerSpeed) compute(prior *speedPrior) {
	weight, sum := s.precision, s.precision*s.settled
	for _, o := range s.observations {
		speed, variance, ok := o.evidence()
		if !ok {
			continue
		}
		residual := speed - s.value
		o.step.squares += min(residual*residual, variance)
		o.step.count++
		w := 1 / (variance * (1 + outlierScore(residual, variance)))
		weight += w
		sum += w * speed
	}
	s.observed, s.observedVariance = 0, math.Inf(1)
	if weight > 0 {
		s.observed, s.observedVariance = sum/weight, 1/weight
	}
	s.value, s.variance = prior.posterior(sum, weight)
}

func (s *workerSpeed) setFactor() {
	s.factor = 1
	if math.Abs(s.value) > usualSpeedRange {
		s.factor = math.Exp(s.value)
	}
}

// settle keeps what the runs that are over have shown, and drops their observations.
func (s *workerSpeed) settle() {
	s.observations = slices.DeleteFunc(s.observations, func(o *speedObservation) bool {
		if o.ended {
			s.settleObservation(o)
			o.step.endedWeight += o.weight
			o.step.endedSum += o.weight * o.value
		}
		return o.ended
	})
}

func (s *workerSpeed) settleObservation(o *speedObservation) {
	speed, variance, ok := o.evidence()
	if !ok {
		return
	}
	residual := speed - s.value
	score := outlierScore(residual, variance)
	if s.countOutlier(score > 1 && variance < maxOutlierDeviation*maxOutlierDeviation, residual) {
		s.settled, s.precision = speed, 1/variance
		return
	}
	w := 1 / (variance * (1 + score))
	s.settled = (s.precision*s.settled + w*speed) / (s.precision + w)
	s.precision = min(s.precision+w, maxPrecision)
}

// countOutlier counts consecutive outliers in one direction, and reports whether there were enough
// for the worker's speed to have changed.
func (s *workerSpeed) countOutlier(outlier bool, residual float64) bool {
	switch {
	case !outlier:
		s.outliers = 0
	case residual < 0:
		s.outliers = min(s.outliers, 0) - 1
	default:
		s.outliers = max(s.outliers, 0) + 1
	}
	if s.outliers > -repeatedOutliers && s.outliers < repeatedOutliers {
		return false
	}
	s.outliers = 0
	return true
}

// minOthersWeight is the weight below which the other runs of a step are too few to compare with;
// it is above the rounding error of a sum without them.
const minOthersWeight = 1e-6

// centerSpeeds makes the speed of sound workers the usual one. Comparisons determine only
// differences: without it all speeds could rise while the rates of all steps fall. The mean would
// count workers that became slow as part of what is usual, and make objectives longer by them.
func (c *Core) centerSpeeds() {
	var observed []float64
	for _, w := range c.fleet {
		if w.speed.isObserved() {
			observed = append(observed, w.speed.observed)
		}
	}
	if len(observed) == 0 {
		return
	}
	slices.Sort(observed)
	usual := meanAround(observed[len(observed)/2], observed)
	for _, w := range c.fleet {
		if w.speed.isObserved() {
			w.speed.shift(-usual)
		}
	}
}

// meanAround returns the mean of the values that count as the same speed as the given one.
func meanAround(speed float64, values []float64) float64 {
	count, sum := 0.0, 0.0
	for _, v := range values {
		if math.Abs(v-speed) <= usualSpeedRange {
			count, sum = count+1, sum+v
		}
	}
	return sum / count
}

// shift adds to a speed, as the usual speed changes.
func (s *workerSpeed) shift(by float64) {
	s.value += by
	s.observed += by
	if s.precision > 0 {
		s.settled += by
	}
}

// compareSpeeds computes the variance of the speeds beyond the uncertainty of the observations, and
// decides whether the workers count as unequal.
func (c *Core) compareSpeeds() {
	var values []float64
	excess := 0.0
	for _, w := range c.fleet {
		if w.speed.isObserved() {
			values = append(values, w.speed.value)
			excess += w.speed.observed*w.speed.observed - w.speed.observedVariance
		}
	}
	if len(values) < minObservedWorkers {
		return
	}
	c.speeds.variance = max(excess/float64(len(values)), equalDeviation*equalDeviation/2)
	slices.Sort(values)
	c.speeds.fastest = math.Exp(max(values[len(values)-1-len(values)/fastShare], 0))
	deviation := math.Sqrt(c.speeds.variance)
	switch {
	case deviation > unequalDeviation:
		c.speeds.unequal = true
	case deviation < equalDeviation:
		c.speeds.unequal = false
	}
}

func (s *workerSpeed) isObserved() bool {
	return s.observedVariance > 0 && !math.IsInf(s.observedVariance, 1)
}

// isKnown reports whether the speed is certain enough to rely on it.
func (s *workerSpeed) isKnown() bool {
	return s.isObserved() && s.variance <= knownDeviation*knownDeviation
}

// speedOf returns how many times faster than usual a worker is.
func (c *Core) speedOf(w *worker) float64 {
	if !c.speeds.unequal || w.speed.factor == 0 {
		return 1
	}
	return w.speed.factor
}

// observedSpeed returns the speed that a worker's runs have shown, without shrinking, or zero if it
// is not known or the workers count as equal.
func (c *Core) observedSpeed(w *worker) float64 {
	if !c.speeds.unequal || !w.speed.isKnown() {
		return 0
	}
	return math.Exp(w.speed.observed)
}

// gangSpeed returns the speed of the slowest worker of a run's gang, or that of the run's worker if
// it is not part of one: the members of a gang end together.
func (c *Core) gangSpeed(r *run) float64 {
	g := r.gang
	if g == nil || !c.speeds.unequal {
		return c.speedOf(r.worker)
	}
	if g.speedPass != c.speeds.pass || g.speedRuns != g.runs {
		g.slowest, g.speedPass, g.speedRuns = c.speedOf(r.worker), c.speeds.pass, g.runs
		r.task.step.eachMember(g, func(member *run) { g.slowest = min(g.slowest, c.speedOf(member.worker)) })
	}
	return g.slowest
}

// eachMember calls f with the runs of a gang.
func (s *step) eachMember(g *gang, f func(*run)) {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.gang == g {
				f(r)
			}
		}
	}
}

// Speeds returns the known speeds by worker, or nil while the workers count as equal.
func (c *Core) Speeds() map[string]float64 {
	if !c.speeds.unequal {
		return nil
	}
	known := make(map[string]float64)
	for _, w := range c.fleet {
		if w.speed.isKnown() {
			known[w.ID] = c.speedOf(w)
		}
	}
	return known
}
