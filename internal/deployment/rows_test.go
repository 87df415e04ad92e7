package deployment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// largeConfiguration is a document of so many queues.
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
	note := &peerpb.RowsNote{Source: "configuration", Rows: packRows(rows)}
	assert.Assert(t, proto.Size(note) < len(rows[0].Value)/4, "%d of %d bytes", proto.Size(note), len(rows[0].Value))
	assert.DeepEqual(t, unpackRows(note.GetRows()), rows)
}

func TestARowThatCannotBeUnpackedIsLeftOutAndTheOthersHold(t *testing.T) {
	rows := unpackRows([]*peerpb.StoreRow{{Key: "a", Value: []byte("no gzip"), Packed: true}, {Key: "b", Value: []byte("plain")}})
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "b")
}

func TestAPeerIsSentEachConfigurationOnceInAWhile(t *testing.T) {
	p, now := newPeers(), bootTime()
	assert.Assert(t, p.mayPush("leaf", 7, now))
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		assert.Assert(t, !p.mayPush("leaf", 7, now), "the same one once more")
	}
	assert.Assert(t, p.mayPush("another", 7, now))
	assert.Assert(t, p.mayPush("leaf", 8, now), "a newer one")
	assert.Assert(t, p.mayPush("leaf", 8, now.Add(pushAgain)), "it may have been lost")
}
