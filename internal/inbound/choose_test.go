package inbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChooseConn(t *testing.T) {
	for name, c := range map[string]struct {
		conns []connState
		want  int
	}{
		"no connection": {nil, -1},
		"clients that wait for responses keep theirs":     {[]connState{{phaseWorking, time.Hour}, {phaseWorking, 0}}, -1},
		"the one that waits longest for its client":       {[]connState{{phaseWaiting, 1}, {phaseWaiting, 3}, {phaseWaiting, 2}}, 1},
		"a body that stalls before one that has begun":    {[]connState{{phaseReceiving, 2}, {phaseWaiting, 1}, {phaseWorking, 9}}, 0},
		"a response that is not read":                     {[]connState{{phaseWorking, 9}, {phaseSending, 5}, {phaseReceiving, 1}}, 1},
		"sessions that are in use":                        {[]connState{{phaseSession, time.Second}}, -1},
		"a session that is idle":                          {[]connState{{phaseSession, time.Minute}, {phaseWaiting, time.Second}}, 0},
		"a new connection among silent ones that is last": {[]connState{{phaseWaiting, 0}, {phaseWaiting, time.Millisecond}}, 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, chooseConn(c.conns), c.want) })
	}
}

func TestChooseBodies(t *testing.T) {
	const s = time.Second
	stalled := func(reserved int64, still time.Duration) bodyState {
		return bodyState{reserved: reserved, received: reserved, age: 2 * s, still: still}
	}
	quick := bodyState{reserved: 100, received: 1 << 20, age: 4 * s}
	slow := func(received int64) bodyState { return bodyState{reserved: 100, received: received, age: 4 * s} }
	done := bodyState{reserved: 100, complete: true, age: time.Hour, still: time.Hour}
	for name, c := range map[string]struct {
		bodies []bodyState
		need   int64
		want   []int
	}{
		"nothing is held":                          {nil, 1, nil},
		"complete bodies stay":                     {[]bodyState{done}, 1, nil},
		"bodies that arrive stay":                  {[]bodyState{quick}, 1, nil},
		"a body without progress for a moment":     {[]bodyState{stalled(100, s/2)}, 1, nil},
		"the longest stalled goes first":           {[]bodyState{stalled(100, s), stalled(100, 3*s), stalled(100, 2*s)}, 150, []int{1, 2}},
		"a slow body goes after stalled ones":      {[]bodyState{slow(1000), stalled(100, s)}, 101, []int{1, 0}},
		"the slowest goes first":                   {[]bodyState{slow(2000), slow(1000)}, 1, []int{1}},
		"none goes if all together are not enough": {[]bodyState{stalled(100, s), quick}, 101, nil},
		"a body that holds nothing frees nothing":  {[]bodyState{stalled(0, s)}, 1, nil},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, chooseBodies(c.bodies, c.need), c.want) })
	}
}

func TestLargeWorkIsRefusedBeforeSmallWork(t *testing.T) {
	const memory = 100 * mb
	for name, c := range map[string]struct {
		live, bytes int64
		want        bool
	}{
		"an empty heap":                        {0, 1 * mb, true},
		"small work on a heap that is filling": {40 * mb, smallWorkBytes, true},
		"large work on a heap that is filling": {40 * mb, smallWorkBytes + 1, false},
		"small work on a full heap":            {50 * mb, smallWorkBytes, false},
		"work that is larger than the heap":    {0, memory, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, fitsHeap(memory, c.live, c.bytes), c.want) })
	}
}
