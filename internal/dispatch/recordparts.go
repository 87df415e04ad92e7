package dispatch

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// Load: a sweep of thousands of tasks that save checkpoints and fail. Its record grows by some fifty
// bytes a task, and the store refuses a row that is too large. The record is therefore split over rows:
// a head, and parts that hold what belongs to tasks, by their key. Each part holds facts of its own, so
// a reader may find parts of different ages; a completion is acknowledged once all of them have it.

const (
	// maxRecordParts bounds the parts of a record.
	maxRecordParts = 1024
	// partsPerRowBound is how many times smaller than a row parts are kept: a change writes a whole
	// part.
	partsPerRowBound = 4
)

// RecordPart is one part of a record that is stored in a row of its own.
type RecordPart struct {
	// Index is the number of the part, from 0, among Count parts. A record is read from the parts of
	// one count.
	Index, Count int
	Data         []byte
}

// splitMap distributes a map over records by key.
func splitMap[V any](m map[string]V, parts []Record, field func(*Record) *map[string]V) {
	for key, value := range m {
		into := field(&parts[xxhash.Sum64String(key)%uint64(len(parts))])
		if *into == nil {
			*into = make(map[string]V)
		}
		(*into)[key] = value
	}
}

// joinMap adds the entries of a part to a map.
func joinMap[V any](into *map[string]V, from map[string]V) {
	if *into == nil && len(from) > 0 {
		*into = make(map[string]V)
	}
	for key, value := range from {
		(*into)[key] = value
	}
}

// head returns the record without what belongs to tasks.
func (r *Record) head(parts int) Record {
	return Record{Final: r.Final, StartIntent: r.StartIntent, EndedMS: r.EndedMS, Parts: parts}
}

// split returns what belongs to tasks in a number of parts.
func (r *Record) split(parts int) []Record {
	list := make([]Record, parts)
	splitMap(r.Done, list, func(p *Record) *map[string]string { return &p.Done })
	splitMap(r.Checkpoints, list, func(p *Record) *map[string]string { return &p.Checkpoints })
	splitMap(r.Failed, list, func(p *Record) *map[string][]int64 { return &p.Failed })
	splitMap(r.Crashed, list, func(p *Record) *map[string][]int64 { return &p.Crashed })
	splitMap(r.Isolated, list, func(p *Record) *map[string][]int64 { return &p.Isolated })
	splitMap(r.Attempts, list, func(p *Record) *map[string][]int64 { return &p.Attempts })
	splitMap(r.SharedCrashes, list, func(p *Record) *map[string][]int64 { return &p.SharedCrashes })
	splitMap(r.Unanswered, list, func(p *Record) *map[string][]int64 { return &p.Unanswered })
	splitMap(r.ObservedMS, list, func(p *Record) *map[string]map[int64]int64 { return &p.ObservedMS })
	splitMap(r.SurvivedMS, list, func(p *Record) *map[string]int64 { return &p.SurvivedMS })
	return list
}

// Join adds the stored form of a part to the record.
func (r *Record) Join(data []byte) error {
	var p Record
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("part of a record: %w", err)
	}
	joinMap(&r.Done, p.Done)
	joinMap(&r.Checkpoints, p.Checkpoints)
	joinMap(&r.Failed, p.Failed)
	joinMap(&r.Crashed, p.Crashed)
	joinMap(&r.Isolated, p.Isolated)
	joinMap(&r.Attempts, p.Attempts)
	joinMap(&r.SharedCrashes, p.SharedCrashes)
	joinMap(&r.Unanswered, p.Unanswered)
	joinMap(&r.ObservedMS, p.ObservedMS)
	joinMap(&r.SurvivedMS, p.SurvivedMS)
	return nil
}

// recordParts describes how a job's record is split.
type recordParts struct {
	// count is the number of parts, zero for a record in one row.
	count int
	// stored holds, by part, the checksum of what the store is known to have, or zero.
	stored []uint64
	// headCount is the number of parts in the stored head.
	headCount int
	// obsolete are parts that no reader needs and whose rows may still exist.
	obsolete ObsoleteParts
}

// ObsoleteParts are the parts from index From on of a record that had Count parts.
type ObsoleteParts struct{ Count, From int }

func (o ObsoleteParts) left() int { return o.Count - o.From }

// obsoleteWithHead returns the parts that are not read any more once the head is stored.
func (p *recordParts) obsoleteWithHead() ObsoleteParts {
	if p.headCount != p.count {
		return ObsoleteParts{Count: p.headCount}
	}
	return p.obsolete
}

// headStored records that the store has a head, and that rows were removed with it.
func (p *recordParts) headStored(count int, removed ObsoleteParts, rows int) {
	p.headCount = count
	p.obsolete = ObsoleteParts{Count: removed.Count, From: removed.From + rows}
	if p.obsolete.left() == 0 {
		p.obsolete = ObsoleteParts{}
	}
}

// LimitWrites sets the bounds of rows and writes to the store. Without it nothing is split.
func (c *Core) LimitWrites(limits workload.WriteLimits) { c.writeLimits = limits }

// encode returns the stored form of a job's record: the head, and the parts that the store may not
// have. A record grows into more parts when a row would be too large, and never shrinks.
func (c *Core) encode(j *job) (head []byte, changed []RecordPart) {
	bound := c.writeLimits.RowBytes
	if j.parts.count == 0 {
		if whole := j.record.Encode(); bound == 0 || len(whole) <= bound {
			return whole, nil
		}
		j.parts.grow()
	}
	if j.record.Final == "" {
		changed = c.encodeParts(j, bound)
	}
	h := j.record.head(j.parts.count)
	return h.Encode(), changed
}

// encodeParts returns the parts that the store may not have, each well within the bound of a row as
// long as a single task allows that.
func (c *Core) encodeParts(j *job, bound int) []RecordPart {
	for {
		var changed []RecordPart
		fits := true
		for n, part := range j.record.split(j.parts.count) {
			data := part.Encode()
			fits = fits && len(data) <= bound/partsPerRowBound
			if j.parts.stored[n] != checksum(data) {
				changed = append(changed, RecordPart{Index: n, Count: j.parts.count, Data: data})
			}
		}
		if fits || j.parts.count >= maxRecordParts {
			return changed
		}
		j.parts.grow()
	}
}

// grow doubles the number of parts; all of them have to be stored anew.
func (p *recordParts) grow() {
	p.count = max(2*p.count, 2)
	p.stored = make([]uint64, p.count)
}

// checksum returns a checksum of a part; it is never zero.
func checksum(data []byte) uint64 { return max(xxhash.Sum64(data), 1) }

// sent marks parts as unknown until their write is answered.
func (p *recordParts) sent(list []RecordPart) {
	for _, part := range list {
		p.stored[part.Index] = 0
	}
}

// storedIn marks parts as stored.
func (p *recordParts) storedIn(list []RecordPart) {
	for _, part := range list {
		if part.Count == p.count {
			p.stored[part.Index] = checksum(part.Data)
		}
	}
}
