package dispatch

import "math"

// Workers of unequal speed come in a few kinds of hardware. The speed of a kind is known from all
// of its workers, so a few runs are enough to tell of which kind a worker is. Without kinds each
// speed is estimated by itself: a slow worker that was observed a few times counts as nearly usual,
// and gets urgent gangs that end late on it.

const (
	// kindBins is the number of bins from -maxSpeed to maxSpeed in which speeds are counted.
	kindBins = 61
	// kindSmoothing is the standard deviation over which the counts are smoothed.
	kindSmoothing = 0.1
	// kindValley is the share of the lower of two peaks below which the counts between them must
	// fall for the peaks to be two kinds.
	kindValley = 0.8
	// maxKindDeviation is the standard deviation up to which a speed is used to find the kinds,
	// and minKindWorkers the number of such speeds that it takes.
	maxKindDeviation = 0.2
	minKindWorkers   = 24
	// minKindVariance is the variance of the speeds within a kind, at least.
	minKindVariance = 0.03 * 0.03
	// minKindShare is the share of the workers that a kind has, at least.
	minKindShare = 0.03
)

// speedKind is a group of workers of about the same speed.
type speedKind struct {
	center, variance float64
	// share is the kind's share of the workers.
	share float64
}

// speedPrior is what is known about a speed before the worker's own runs: its variance around the
// usual one, and the kinds of workers if there are at least two.
type speedPrior struct {
	variance float64
	kinds    []speedKind
}

// posterior returns the expected speed and its variance, from the sum of the observations and the
// sum of their weights.
func (p *speedPrior) posterior(sum, weight float64) (value, variance float64) {
	if len(p.kinds) == 0 || weight == 0 {
		return sum / (weight + 1/p.variance), 1 / (weight + 1/p.variance)
	}
	observed, observedVariance := sum/weight, 1/weight
	nearest := math.Inf(1)
	for _, k := range p.kinds {
		nearest = min(nearest, k.distance(observed, observedVariance))
	}
	total, squares := 0.0, 0.0
	for _, k := range p.kinds {
		// The observation of a worker of the kind, shrunk towards the kind's speed.
		shrunk := (observed*k.variance + k.center*observedVariance) / (k.variance + observedVariance)
		spread := k.variance * observedVariance / (k.variance + observedVariance)
		likelihood := math.Exp(nearest - k.distance(observed, observedVariance))
		total += likelihood
		value += likelihood * shrunk
		squares += likelihood * (shrunk*shrunk + spread)
	}
	value /= total
	return value, max(squares/total-value*value, minKindVariance)
}

// distance returns the negative logarithm of the likelihood of an observation, up to a constant.
func (k *speedKind) distance(observed, observedVariance float64) float64 {
	variance := k.variance + observedVariance
	return (observed-k.center)*(observed-k.center)/(2*variance) + math.Log(variance)/2 - math.Log(k.share)
}

// findKinds determines the kinds of workers from the well-observed ones.
func (c *Core) findKinds() {
	c.speeds.kinds = nil
	if !c.speeds.unequal || !c.enabled(MechSpeedKinds) {
		return
	}
	var counts [kindBins]float64
	observed := 0
	for _, w := range c.fleet {
		if w.speed.isWellObserved() {
			counts[kindBin(w.speed.observed)]++
			observed++
		}
	}
	if observed < minKindWorkers {
		return
	}
	limits := kindLimits(smooth(counts))
	if len(limits) < 2 {
		return
	}
	kinds := c.describeKinds(limits)
	if len(kinds) >= 2 {
		c.speeds.kinds = kinds
	}
}

func (s *workerSpeed) isWellObserved() bool {
	return s.isObserved() && s.observedVariance <= maxKindDeviation*maxKindDeviation
}

// kindBin returns the bin of a speed.
func kindBin(speed float64) int {
	bin := int(math.Round((speed/maxSpeed + 1) / 2 * (kindBins - 1)))
	return max(0, min(bin, kindBins-1))
}

func smooth(counts [kindBins]float64) [kindBins]float64 {
	const binsPerDeviation = kindSmoothing / (2 * maxSpeed / (kindBins - 1))
	var smoothed [kindBins]float64
	for i := range smoothed {
		for j, count := range counts {
			distance := float64(i-j) / binsPerDeviation
			smoothed[i] += count * math.Exp(-distance*distance/2)
		}
	}
	return smoothed
}

// kindLimits returns the last bin of each kind: the lowest one between two peaks.
func kindLimits(counts [kindBins]float64) []int {
	var limits []int
	peak, valley := 0.0, 0.0 // of the present kind, and since its peak
	valleyAt := 0
	for i, count := range counts {
		isValley := valley < kindValley*peak
		switch {
		case count < valley:
			valley, valleyAt = count, i
		case isValley && valley < kindValley*count: // the next kind has begun
			limits = append(limits, valleyAt)
			peak, valley, valleyAt = count, count, i
		case !isValley && count > peak: // the present kind has not reached its peak
			peak, valley, valleyAt = count, count, i
		}
	}
	return append(limits, kindBins-1)
}

// describeKinds returns the kinds with the given limits, without those that have too few workers.
func (c *Core) describeKinds(limits []int) []speedKind {
	type sums struct{ count, sum, squares, uncertainty float64 }
	all := make([]sums, len(limits))
	total := 0.0
	for _, w := range c.fleet {
		if !w.speed.isWellObserved() {
			continue
		}
		n := 0
		for kindBin(w.speed.observed) > limits[n] {
			n++
		}
		k := &all[n]
		k.count++
		k.sum += w.speed.observed
		k.squares += w.speed.observed * w.speed.observed
		k.uncertainty += w.speed.observedVariance
		total++
	}
	var kinds []speedKind
	for _, k := range all {
		if k.count < minKindShare*total || k.count < 2 {
			continue
		}
		center := k.sum / k.count
		variance := k.squares/k.count - center*center - k.uncertainty/k.count
		kinds = append(kinds, speedKind{center: center, variance: max(variance, minKindVariance), share: k.count / total})
	}
	return kinds
}
