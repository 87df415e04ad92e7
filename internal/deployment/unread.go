package deployment

import "sync"

// unreadRows remembers of which rows a line said that they cannot be read, so that a
// writer that repeats itself costs one line and not one for each repetition. It is
// safe for concurrent use; its zero value is empty.
type unreadRows struct {
	mu   sync.Mutex
	rows map[string]int64
}

// first reports whether this version of a row is met for the first time.
func (u *unreadRows) first(key string, version int64) bool {
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

// forget takes that a row can be read again.
func (u *unreadRows) forget(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.rows, key)
}
