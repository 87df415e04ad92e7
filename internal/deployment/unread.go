package deployment

import "sync"

// unreadableRows records which rows were logged as undecodable, so that a writer that
// repeats itself causes one log line and not one per repetition. It is safe for
// concurrent use; its zero value is empty.
type unreadableRows struct {
	mu sync.Mutex
	// rows holds the newest logged version by key.
	rows map[string]int64
}

// shouldLog reports whether neither this nor a newer version of a row was logged, and
// records it as logged.
func (u *unreadableRows) shouldLog(key string, version int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if seen, known := u.rows[key]; known && seen >= version {
		return false
	}
	if u.rows == nil {
		u.rows = make(map[string]int64)
	}
	u.rows[key] = version
	return true
}

// forget records that a row can be decoded again.
func (u *unreadableRows) forget(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.rows, key)
}
