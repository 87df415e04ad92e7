package admission

import (
	"math"
	"time"
)

// inflowWindow is the time over which the arrival rate is smoothed: one second
// averages out bursts and still follows a change soon enough.
const inflowWindow = time.Second

// inflow measures the rate at which an account's accepted requests add service
// time, by their position in the service order: requests with a higher priority,
// or with the same priority and less time to the deadline, overtake those already
// waiting. Without it, the wait of requests that are overtaken continuously would
// be underestimated, and they would be refused only at their deadline.
type inflow struct {
	classes []inflowClass
}

// inflowClass holds the arrival rate of the requests with one priority and one
// magnitude of slack.
type inflowClass struct {
	priority int
	// magnitude is the binary logarithm, rounded down, of the seconds to the
	// deadline.
	magnitude int
	// rate is in seconds of service time per second, as of updatedAt.
	rate      float64
	updatedAt time.Time
}

func magnitudeOf(slack time.Duration) int {
	return int(math.Floor(math.Log2(max(slack.Seconds(), 0.001))))
}

// add records an accepted request.
func (f *inflow) add(request Request, cost time.Duration, now time.Time) {
	magnitude := magnitudeOf(request.Deadline.Sub(now))
	for i := range f.classes {
		class := &f.classes[i]
		if class.priority == request.Priority && class.magnitude == magnitude {
			class.rate = class.rateAt(now) + cost.Seconds()/inflowWindow.Seconds()
			class.updatedAt = now
			return
		}
	}
	f.classes = append(f.classes, inflowClass{
		priority: request.Priority, magnitude: magnitude, rate: cost.Seconds() / inflowWindow.Seconds(), updatedAt: now,
	})
}

// rateAt returns the rate at now, which decays exponentially while no requests
// arrive.
func (c *inflowClass) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.updatedAt).Seconds()/inflowWindow.Seconds())
}

// rateAhead returns the rate of arriving service time that overtakes the request,
// in slots.
func (f *inflow) rateAhead(request Request, now time.Time) float64 {
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
