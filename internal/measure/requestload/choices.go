package requestload

import (
	"math/rand/v2"

	"github.com/corianderbank/corianderbank/internal/routing"
)

// The choices among backend servers that were weighed against the one in turn.

func (w *world) routingPolicy(z *zone) routing.Policy {
	chosen := w.policy.routing
	if w.policy.choose != nil {
		chosen.Choose = w.policy.choose(z)
	}
	return chosen
}

// chooseOfTwo draws two at random and takes the one with fewer requests in
// flight from this instance (the power of two choices).
func chooseOfTwo(*zone) routing.Choose {
	return ofTwo(func(c routing.Candidate) float64 { return float64(c.InFlight) })
}

// chooseWeighed is chooseOfTwo with requests in flight weighed by slowness.
func chooseWeighed(*zone) routing.Choose {
	return ofTwo(func(c routing.Candidate) float64 { return float64(c.InFlight+1) * c.Slowness })
}

func ofTwo(score func(routing.Candidate) float64) routing.Choose {
	return func(candidates []routing.Candidate, random *rand.Rand) (best, second int) {
		best = random.IntN(len(candidates))
		second = random.IntN(len(candidates) - 1)
		if second >= best {
			second++
		}
		if score(candidates[second]) < score(candidates[best]) {
			return second, best
		}
		return best, second
	}
}

// chooseProbed takes the least of all by the true requests in flight, weighed by
// slowness, as if each had just been probed (after Prequal, NSDI 2024).
func chooseProbed(z *zone) routing.Choose {
	return func(candidates []routing.Candidate, _ *rand.Rand) (best, second int) {
		least := 0.0
		for i, c := range candidates {
			score := float64(z.servers[c.ID].inFlight+1) * c.Slowness
			if i == 0 || score < least {
				best, second, least = i, best, score
			}
		}
		return best, second
	}
}
