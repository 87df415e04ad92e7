package fake

import (
	"math/rand/v2"
	"time"
)

// RandomFault returns a random fault with the given probability, and otherwise no
// fault. The kinds of faults are equally likely: refusal, delay, calls lost before
// and answers lost after the call takes effect, and commits that take effect only
// after their answer was lost.
func RandomFault(random *rand.Rand, probability float64) Fault {
	if random.Float64() >= probability {
		return Fault{}
	}
	delay := time.Duration(1+random.IntN(3000)) * time.Millisecond
	switch random.IntN(5) {
	case 0:
		return Fault{Down: true}
	case 1:
		return Fault{Delay: delay}
	case 2:
		return Fault{LoseRequest: true}
	case 3:
		return Fault{LoseAnswer: true}
	default:
		return Fault{AppliesAfter: delay}
	}
}
