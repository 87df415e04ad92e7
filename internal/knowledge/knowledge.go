// Package knowledge holds what a leader learns from the work that it schedules and would need
// minutes to learn again: the speeds of workers, the run times of tasks, the recent use by
// urgent work and the crashes of machines. It decides which part of it is worth storing, and
// how far a later leader may rely on it. It has no clock and no network.
//
// Load: deployments whose leader is replaced every few seconds, by a rolling stop or by
// failures, while their workers are unequal. Without it each new leader treats the workers as
// equal for its first seconds, and starts urgent gangs on slow ones.
package knowledge

import (
	"math"
	"time"
)

// Knowledge is what a leader has learned. Its zero value is that of a deployment's first
// leader.
type Knowledge struct {
	// Speeds holds the speeds by worker. It is empty while the workers count as equal.
	Speeds map[string]Speed
	// RunTimes holds what is known about run times, by image or queue.
	RunTimes map[string]RunTime
	// UrgentUse is the average number of accelerators recently used by work of the highest
	// priority, by pool.
	UrgentUse map[string]float64
	// Crashes holds the times of recent crashes, in milliseconds since 1970, by the address of
	// the machine.
	Crashes map[string][]int64
	// Unsound is the probability that a worker fails what it is given, by worker. It holds the
	// workers for which the probability changes decisions, those first that are the likeliest.
	Unsound map[string]float64
}

// Speed is the speed of one incarnation of a worker.
type Speed struct {
	// Log is the logarithm of the speed relative to the usual one.
	Log float64
	// Precision is the inverse variance of Log.
	Precision float64
	// Incarnation is the incarnation that was observed.
	Incarnation int64
}

// RunTime holds the moments of the observed run times. Times are logarithms of milliseconds,
// errors logarithms of the ratio of actual to declared run time.
type RunTime struct {
	Count                 float64 `json:"n"`
	Time                  float64 `json:"t"`
	TimeVariance          float64 `json:"tv"`
	DeclaredError         float64 `json:"e"`
	DeclaredErrorVariance float64 `json:"ev"`
}

const (
	// halfLife is the age at which speeds and run times count half: hardware and programs
	// change over minutes, not seconds.
	halfLife = 5 * time.Minute
	// urgentUseWindow is the time after which the recent use by urgent work has lost most of
	// its weight.
	urgentUseWindow = 8 * time.Second
	// maxAge is the age from which a row is set aside.
	maxAge = time.Hour
)

// trust returns the weight of knowledge of a given age.
func trust(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// aged lowers the weight of knowledge, in place, to what a leader may rely on after the given time.
func (k Knowledge) aged(age time.Duration) Knowledge {
	factor := trust(age)
	for worker, s := range k.Speeds {
		s.Precision *= factor
		k.Speeds[worker] = s
	}
	for key, r := range k.RunTimes {
		r.Count *= factor
		k.RunTimes[key] = r
	}
	for pool := range k.UrgentUse {
		k.UrgentUse[pool] *= math.Exp(-max(age, 0).Seconds() / urgentUseWindow.Seconds())
	}
	for worker := range k.Unsound {
		k.Unsound[worker] *= factor
	}
	return k
}
