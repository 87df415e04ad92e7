package serve

import (
	"runtime"

	"github.com/corianderbank/corianderbank/api"
)

// withinGoroutines returns an error of KindQueueFull while the process has more
// goroutines than limit: it takes no new work then, and says so to the
// balancer, until some of them have ended. Work in flight goes on.
func withinGoroutines(limit int) error {
	if running := runtime.NumGoroutine(); running > limit {
		return api.NewError(api.KindQueueFull, "%d goroutines run in this instance, its limit is %d", running, limit)
	}
	return nil
}
