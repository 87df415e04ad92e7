package serve

import (
	"runtime"

	"github.com/corianderbank/corianderbank/api"
)

// checkGoroutineLimit returns an error of KindQueueFull while the process has more
// goroutines than limit. Until some of them have ended, the instance accepts no
// new work and reports this to the load balancer; work in flight continues.
func checkGoroutineLimit(limit int) error {
	if running := runtime.NumGoroutine(); running > limit {
		return api.NewError(api.KindQueueFull, "%d goroutines run in this instance, its limit is %d", running, limit)
	}
	return nil
}
