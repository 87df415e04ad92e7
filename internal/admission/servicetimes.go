package admission

import "time"

const (
	// DefaultServiceTime is assumed for a kind without observations.
	DefaultServiceTime = 50 * time.Millisecond
	// meanGain is the weight of one observation in the mean: about the last
	// twenty count, so that the mean follows a change within a second at the load
	// of present deployments.
	meanGain = 0.05
	// highQuantile is the quantile that HighQuantile returns: one in a hundred
	// requests of a kind takes longer than load shedding assumes. At 0.9, a tenth
	// of the service at three times the load was spent on answers that came too
	// late.
	highQuantile = 0.99
	// quantileGain is the step of the quantile estimate, as a fraction of the
	// mean.
	quantileGain = 0.2
	// maxKinds limits memory: further kinds use the default.
	maxKinds = 10000
)

// ServiceTimes estimates the run times of requests by account and kind. It is not
// safe for concurrent use.
type ServiceTimes struct {
	kinds map[kindKey]*serviceTime
}

type kindKey struct{ account, kind string }

// serviceTime holds estimates in seconds.
type serviceTime struct{ mean, high float64 }

// NewServiceTimes returns estimates without observations.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{kinds: make(map[kindKey]*serviceTime)}
}

// Observe records one actual run time.
func (s *ServiceTimes) Observe(account, kind string, took time.Duration) {
	key := kindKey{account, kind}
	estimate, ok := s.kinds[key]
	if !ok {
		if len(s.kinds) < maxKinds {
			s.kinds[key] = &serviceTime{mean: took.Seconds(), high: took.Seconds()}
		}
		return
	}
	value := took.Seconds()
	estimate.mean += meanGain * (value - estimate.mean)
	step := quantileGain * estimate.mean
	if value > estimate.high {
		estimate.high += step * highQuantile
	} else {
		estimate.high -= step * (1 - highQuantile)
	}
}

// Mean returns the mean run time.
func (s *ServiceTimes) Mean(account, kind string) time.Duration {
	if estimate, ok := s.kinds[kindKey{account, kind}]; ok {
		return secondsToDuration(estimate.mean)
	}
	return DefaultServiceTime
}

// HighQuantile returns the run time that one request in a hundred exceeds.
func (s *ServiceTimes) HighQuantile(account, kind string) time.Duration {
	if estimate, ok := s.kinds[kindKey{account, kind}]; ok {
		return secondsToDuration(max(estimate.high, estimate.mean))
	}
	return DefaultServiceTime
}
