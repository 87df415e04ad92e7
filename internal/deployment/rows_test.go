package deployment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// largeConfiguration returns a document with the given number of queues.
func largeConfiguration(queues int) []byte {
	var text strings.Builder
	for n := range queues {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%d.example","prefix":"/p%x/","service":"pool","priority":1,"attempts":4},`, n*7919, n%50, n*104729)
	}
	return []byte(text.String())
}

func TestAConfigurationOfThousandsOfQueuesIsSmallOnTheWay(t *testing.T) {
	rows := []workload.Row{
		{Key: "config", Value: largeConfiguration(3000), Version: 7},
		{Key: "small", Value: []byte("as it is"), Version: 8},
		{Key: "empty", Version: 9, Deleted: true},
	}
	message := rowsToProto(rows)
	compressRows(message)
	assert.Assert(t, proto.Size(&peerpb.RowsNote{Rows: message}) < len(rows[0].Value)/4)
	assert.Assert(t, len(rows[0].Value) > 100_000, "the row itself is unchanged")
	assert.NilError(t, expandRows(message))
	assert.DeepEqual(t, rowsFromProto(message), rows)
}

func TestAMessageThatCannotBeExpandedChangesNothing(t *testing.T) {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: plainDecoder{}, Logger: zap.NewNop()})
	i.receiveRows(&peerpb.RowsNote{Source: string(workload.SourceConfiguration), Rows: []*peerpb.StoreRow{
		{Key: "config", Value: []byte("no gzip"), Packed: true, Version: 3},
	}})
	assert.Equal(t, i.configVersion(), int64(0))
}

func TestValuesWrittenThroughAPeerAreNotCompressed(t *testing.T) {
	value := largeConfiguration(100)
	rows := rowsFromProto(rowsToProto([]workload.Row{{Key: "j/1", Value: value}}))
	assert.DeepEqual(t, rows[0].Value, value)
	assert.Assert(t, !rowsToProto(rows)[0].GetPacked())
}

func TestAPeerIsSentEachConfigurationOnceInAWhile(t *testing.T) {
	p, now := newPeers(), bootTime()
	assert.Assert(t, p.mayPush("leaf", 7, now))
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		assert.Assert(t, !p.mayPush("leaf", 7, now), "the same version again")
	}
	assert.Assert(t, p.mayPush("another", 7, now))
	assert.Assert(t, p.mayPush("leaf", 8, now), "a newer version")
	assert.Assert(t, p.mayPush("leaf", 8, now.Add(pushRepeatInterval)), "it may have been lost")
}
