package membership_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/membership"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/peer"
	"github.com/corianderbank/corianderbank/internal/settings"
)

// Durations and sizes of the measurement.
const (
	benchWarmUp   = 5 * time.Second
	benchMeasure  = 20 * time.Second
	benchInterval = 500 * time.Millisecond
	// benchPerZone is the number of entry instances per availability zone,
	// which is small in practice.
	benchPerZone = 6
)

// countingConn counts the bytes that one side writes, and its writes, each of
// which is a segment with its own headers.
type countingConn struct {
	net.Conn
	written, writes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// member is one instance of the measurement.
type member struct {
	fleet *membership.Fleet
	node  *peer.Node
}

// Handle implements peer.Handler.
func (m *member) Handle(_ context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	state := m.fleet.HandleState(request.GetState())
	return &peerpb.Response{Body: &peerpb.Response_State{State: state}}, nil
}

// BenchmarkControl measures the cost of membership for an instance by the
// number of instances: bytes and writes sent, processor time and memory. All
// instances run in this process and communicate over loopback.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{2, 4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			for range b.N {
				measureControl(b, count)
			}
		})
	}
}

func measureControl(b *testing.B, count int) {
	var written, writes atomic.Int64
	before := heapBytes()
	ctx, cancel := context.WithCancel(b.Context())
	members := startMembers(b, count, &written, &writes)
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { m.fleet.Run(ctx) })
	}
	time.Sleep(benchWarmUp)
	bytesBefore, writesBefore, cpuBefore := written.Load(), writes.Load(), processorTime(b)
	time.Sleep(benchMeasure)
	instanceSeconds := float64(count) * benchMeasure.Seconds()
	b.ReportMetric(float64(written.Load()-bytesBefore)/instanceSeconds, "B/s/instance")
	b.ReportMetric(float64(writes.Load()-writesBefore)/instanceSeconds, "writes/s/instance")
	b.ReportMetric(100*(processorTime(b)-cpuBefore)/instanceSeconds, "%core/instance")
	b.ReportMetric((heapBytes()-before)/float64(count)/(1<<20), "heapMB/instance")
	for _, m := range members {
		assert.Equal(b, len(m.fleet.Instances()), count-1)
	}
	cancel()
	wg.Wait()
	for _, m := range members {
		m.node.Close()
	}
}

func startMembers(b *testing.B, count int, written, writes *atomic.Int64) []*member {
	members := make([]*member, count)
	var seeds []settings.Peer
	for i := range members {
		id, zone := fmt.Sprintf("entry-%02d", i), fmt.Sprintf("zone-%d", i/benchPerZone)
		m := &member{}
		m.node = peer.New(peer.Options{
			Instance: id, Incarnation: 1, Listen: "127.0.0.1:0", Handler: m,
			Resolve:  func(instance string) (string, bool) { return m.fleet.Resolve(instance) },
			WrapConn: func(conn net.Conn) net.Conn { return countingConn{conn, written, writes} },
		})
		assert.NilError(b, m.node.Start())
		seeds = append(seeds, settings.Peer{Instance: id, AvailabilityZone: zone, Addr: "127.0.0.1:1", PeerAddr: m.node.Addr()})
		members[i] = m
	}
	for i, m := range members {
		self := model.Instance{
			ID: seeds[i].Instance, Addr: seeds[i].Addr, PeerAddr: seeds[i].PeerAddr,
			Zone: seeds[i].AvailabilityZone, Incarnation: time.Now().UnixNano(),
		}
		m.fleet = membership.New(membership.Options{
			Self: self, Seeds: seeds, Caller: m.node, PeerInterval: benchInterval,
			Local: func() membership.Local {
				return membership.Local{ConfigVersion: 100, ConfigAge: time.Hour, Epoch: 10, PlatformReachable: true, LoadPermille: 400}
			},
		})
	}
	return members
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the processor time of this process, in seconds.
func processorTime(b *testing.B) float64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}
