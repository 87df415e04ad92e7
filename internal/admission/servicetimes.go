package admission

import "time"

const (
	// DefaultServiceTime is assumed of a kind that was never seen.
	DefaultServiceTime = 50 * time.Millisecond
	// meanGain is the weight of one observation in the mean: the last twenty
	// or so count, which follows a change within a second at today's load.
	meanGain = 0.05
	// highQuantile is the quantile of High: one in a hundred requests of a kind
	// takes longer than what shedding plans with. At 0.9 a tenth of the service
	// at three times the load went to answers that came too late.
	highQuantile = 0.99
	// quantileGain is the step of the quantile estimate, as a part of the mean.
	quantileGain = 0.2
	// maxKinds bounds the memory: beyond it, unknown kinds share the default.
	maxKinds = 10000
)

// ServiceTimes learns how long requests of an account and kind run. It is not
// safe for concurrent use.
type ServiceTimes struct {
	kinds map[kindKey]*serviceTime
}

type kindKey struct{ account, kind string }

// serviceTime holds estimates in seconds.
type serviceTime struct{ mean, high float64 }

// NewServiceTimes returns estimates that know nothing yet.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{kinds: make(map[kindKey]*serviceTime)}
}

// Observe takes in one true run time.
func (s *ServiceTimes) Observe(account, kind string, took time.Duration) {
	key := kindKey{account, kind}
	seen, ok := s.kinds[key]
	if !ok {
		if len(s.kinds) < maxKinds {
			s.kinds[key] = &serviceTime{mean: took.Seconds(), high: took.Seconds()}
		}
		return
	}
	value := took.Seconds()
	seen.mean += meanGain * (value - seen.mean)
	step := quantileGain * seen.mean
	if value > seen.high {
		seen.high += step * highQuantile
	} else {
		seen.high -= step * (1 - highQuantile)
	}
}

// Mean returns the expected run time.
func (s *ServiceTimes) Mean(account, kind string) time.Duration {
	if seen, ok := s.kinds[kindKey{account, kind}]; ok {
		return seconds(seen.mean)
	}
	return DefaultServiceTime
}

// High returns the run time that one in a hundred exceeds.
func (s *ServiceTimes) High(account, kind string) time.Duration {
	if seen, ok := s.kinds[kindKey{account, kind}]; ok {
		return seconds(max(seen.high, seen.mean))
	}
	return DefaultServiceTime
}
