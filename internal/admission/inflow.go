package admission

import (
	"math"
	"time"
)

// inflowWindow is the time over which the rate of arriving service is smoothed:
// a second of load tells more than a burst and follows a change soon enough.
const inflowWindow = time.Second

// inflow measures how much service an account's admitted requests bring, by how
// early they go: requests of a higher priority, and among equals those with less
// time to their deadline, overtake what waits already. Without it a queue that
// is overtaken all the time looks short, and its requests learn only at their
// deadline that there was no turn for them.
type inflow struct {
	classes []inflowClass
}

// inflowClass is the requests of one priority and one magnitude of slack.
type inflowClass struct {
	priority int
	// magnitude is the power of two of the seconds to the deadline.
	magnitude int
	// rate is in seconds of service a second, as of at.
	rate float64
	at   time.Time
}

func magnitudeOf(slack time.Duration) int {
	return int(math.Floor(math.Log2(max(slack.Seconds(), 0.001))))
}

// add takes in an admitted request.
func (f *inflow) add(request Request, cost time.Duration, now time.Time) {
	magnitude := magnitudeOf(request.Deadline.Sub(now))
	for i := range f.classes {
		class := &f.classes[i]
		if class.priority == request.Priority && class.magnitude == magnitude {
			class.rate = class.rateAt(now) + cost.Seconds()/inflowWindow.Seconds()
			class.at = now
			return
		}
	}
	f.classes = append(f.classes, inflowClass{
		priority: request.Priority, magnitude: magnitude, rate: cost.Seconds() / inflowWindow.Seconds(), at: now,
	})
}

// rateAt returns the rate at now, which decays while nothing arrives.
func (c *inflowClass) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.at).Seconds()/inflowWindow.Seconds())
}

// ahead returns the rate of service that goes ahead of the request, in slots.
func (f *inflow) ahead(request Request, now time.Time) float64 {
	magnitude := magnitudeOf(request.Deadline.Sub(now))
	total := 0.0
	for i := range f.classes {
		class := &f.classes[i]
		if class.priority > request.Priority || (class.priority == request.Priority && class.magnitude < magnitude) {
			total += class.rateAt(now)
		}
	}
	return total
}
