package deployment

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// keysDecoder decodes configurations that consist of a version and the keys of one
// client account.
type keysDecoder struct{ plainDecoder }

// Configuration implements Decoder.
func (keysDecoder) Configuration(data []byte) (*workload.Configuration, error) {
	fields := strings.Fields(string(data))
	c := &workload.Configuration{
		Queues:   []workload.Queue{{Name: "queue", Host: "host", Prefix: "/queue/"}},
		Accounts: []workload.Account{{Name: "acme", Keys: fields[1:]}},
	}
	_, err := fmt.Sscan(fields[0], &c.Version)
	c.Index()
	return c, err
}

func TestTheConfigurationOnlyRisesAndAKeyThatWasTakenAwayStaysRefused(t *testing.T) {
	settings := defaultSettings()
	i := New(Options{Settings: &settings, Store: newMemoryStore(), Decoder: keysDecoder{}, Logger: zap.NewNop()})
	admits := func(key string) bool {
		_, _, err := i.Admit("host", "/queue/id", key)
		assert.Assert(t, err == nil || api.IsKind(err, api.KindUnknownKey), "%v", err)
		return err == nil
	}
	for _, c := range []struct {
		stored     string
		rowVersion int64
		version    int64
		admits     map[string]bool
	}{
		{"3 first second", 10, 3, map[string]bool{"first": true, "second": true}},
		{"7 second", 11, 7, map[string]bool{"first": false, "second": true}},
		{"3 first second", 10, 7, map[string]bool{"first": false, "second": true}}, // delivered late by a slow route
		{"7 second", 11, 7, map[string]bool{"first": false, "second": true}},
		{"8 third", 12, 8, map[string]bool{"first": false, "second": false, "third": true}},
		{"5 first", 13, 8, map[string]bool{"first": false, "third": true}}, // an operator's write with an older version
	} {
		i.applyOperatorRows([]workload.Row{entryRow("config", c.stored, c.rowVersion)})
		i.receiveRows(rowsMessage(entryRow("config", c.stored, c.rowVersion)))
		assert.Equal(t, i.configVersion(), c.version, c.stored)
		for key, want := range c.admits {
			assert.Equal(t, admits(key), want, "%s under %q", key, c.stored)
		}
	}
}

func TestAConfigurationOfThousandsOfQueuesFindsEachOfThem(t *testing.T) {
	c := &workload.Configuration{Version: 1}
	for n := range 3000 {
		c.Queues = append(c.Queues, workload.Queue{Name: fmt.Sprint(n), Host: "host", Prefix: fmt.Sprintf("/q%d/", n)})
	}
	c.Index()
	for _, n := range []int{0, 14, 1400, 2999} {
		q := findQueue(c, "host", fmt.Sprintf("/q%d/id", n))
		assert.Assert(t, q != nil)
		assert.Equal(t, q.Name, fmt.Sprint(n))
	}
	assert.Assert(t, findQueue(c, "host", "/q3000/id") == nil)
}
