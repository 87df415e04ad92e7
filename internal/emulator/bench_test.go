package emulator

import (
	"testing"

	"github.com/corianderbank/corianderbank/internal/dispatch"
)

func BenchmarkPlay(b *testing.B) {
	deployments, err := Deployments()
	if err != nil {
		b.Fatal(err)
	}
	days, err := Days()
	if err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		simulate(&deployments[n%len(deployments)], &days[n%len(days)], dispatch.Tuning{}, uint64(n))
	}
}
