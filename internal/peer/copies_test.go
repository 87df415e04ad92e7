package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/peer"
)

// breakingConn writes a number of bytes, and then breaks.
type breakingConn struct {
	net.Conn
	mu   sync.Mutex
	left int
}

// Write implements net.Conn.
func (c *breakingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) <= c.left {
		c.left -= len(data)
		return c.Conn.Write(data)
	}
	n, _ := c.Conn.Write(data[:c.left])
	c.left = 0
	_ = c.Close()
	return n, net.ErrClosed
}

func TestACallIsHandledOnceAtMostAndNotAtAllWhenItSaysSoOverConnectionsThatBreak(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 1))
			handled := make(map[int64]int)
			addresses := addressBook{}
			limits := peer.Limits{MaxControl: 2}
			breaking := func(conn net.Conn) net.Conn {
				mu.Lock()
				defer mu.Unlock()
				return &breakingConn{Conn: conn, left: 200 + random.IntN(4000)}
			}
			handler := func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
				mu.Lock()
				handled[request.GetConfig().GetHave()]++
				mu.Unlock()
				return echo(ctx, request)
			}
			a := startNode(t, addresses, peer.Options{Instance: "a", Limits: limits, WrapConn: breaking})
			b := startNode(t, addresses, peer.Options{Instance: "b", Limits: limits, WrapConn: breaking, Handler: handlerFunc(handler)})
			const callers, callsEach = 8, 100
			kinds := make([]api.Kind, callers*callsEach)
			var calls sync.WaitGroup
			for caller := range callers {
				calls.Go(func() {
					for k := range callsEach {
						number := caller*callsEach + k
						if _, err := a.Call(t.Context(), "b", configQuery(int64(number))); err != nil {
							kinds[number] = api.KindOf(err)
						}
					}
				})
			}
			calls.Wait()
			b.Close()
			count := make(map[api.Kind]int)
			for number, kind := range kinds {
				count[kind]++
				times := handled[int64(number)]
				assert.Assert(t, times <= 1, "call %d was handled %d times", number, times)
				switch kind {
				case "":
					assert.Equal(t, times, 1, "call %d", number)
				case api.KindResultUnknown:
				default:
					assert.Equal(t, times, 0, "call %d: %s", number, kind)
				}
			}
			assert.Assert(t, count[""] > 0 && count[api.KindResultUnknown] > 0, "%v", count)
			t.Log(count)
		})
	}
}
