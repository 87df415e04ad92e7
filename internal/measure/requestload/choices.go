package requestload

import (
	"math/rand/v2"

	"github.com/corianderbank/corianderbank/internal/routing"
)

// This file contains the alternatives to the product's round-robin choice among
// backend servers.

func (sim *simulation) routingPolicy(z *zone) routing.Policy {
	result := sim.policy.routing
	if sim.policy.choose != nil {
		result.Choose = sim.policy.choose(z)
	}
	return result
}

// powerOfTwoByInFlight draws two servers at random and chooses the one with fewer
// requests in flight from this instance (the power of two choices).
func powerOfTwoByInFlight(*zone) routing.Choose {
	return betterOfTwo(func(c routing.Candidate) float64 { return float64(c.InFlight) })
}

// powerOfTwoBySlowness is powerOfTwoByInFlight with the requests in flight weighted
// by slowness.
func powerOfTwoBySlowness(*zone) routing.Choose {
	return betterOfTwo(func(c routing.Candidate) float64 { return float64(c.InFlight+1) * c.Slowness })
}

func betterOfTwo(score func(routing.Candidate) float64) routing.Choose {
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

// leastLoadedByProbe chooses the server with the fewest requests in flight from all
// instances, weighted by slowness, as if each server had just been probed (after
// Prequal, NSDI 2024).
func leastLoadedByProbe(z *zone) routing.Choose {
	return func(candidates []routing.Candidate, _ *rand.Rand) (best, second int) {
		lowest := 0.0
		for i, c := range candidates {
			score := float64(z.servers[c.ID].inFlight+1) * c.Slowness
			if i == 0 || score < lowest {
				best, second, lowest = i, best, score
			}
		}
		return best, second
	}
}
