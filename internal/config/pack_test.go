package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestPackedDocumentComesBackWhole(t *testing.T) {
	document := []byte(strings.Repeat(`{"client_accounts":[]}`, 1000))
	packed := Pack(document)
	assert.Assert(t, len(packed) < len(document)/10)
	back, err := Unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, document)
}

func TestDamagedPackIsRefused(t *testing.T) {
	whole := Pack([]byte(`{"client_accounts":[],"rules":[]}`))
	cases := map[string][]byte{
		"nothing":            nil,
		"not packed":         []byte(`{"client_accounts":[]}`),
		"truncated":          whole[:len(whole)-3],
		"a changed checksum": append(append([]byte(nil), whole[:len(whole)-8]...), 0, 0, 0, 0, 0, 0, 0, 0),
	}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(packed)
			assert.Assert(t, api.IsKind(err, api.KindConfigInvalid), "%v", err)
		})
	}
}

func TestOfferedVersionMustBeWhole(t *testing.T) {
	document := []byte(`{"client_accounts":[],"rules":[{"name":"all","when":{},"then":{}}]}`)
	unknown := []byte(`{"client_accounts":[],"rules":[],"colour":1}`)
	cases := map[string]struct {
		digest   string
		document []byte
		taken    bool
	}{
		"the right digest":   {digestOf(document), document, true},
		"another digest":     {digestOf(unknown), document, false},
		"an unknown field":   {digestOf(unknown), unknown, false},
		"half a document":    {digestOf(document[:20]), document[:20], false},
		"data after its end": {digestOf(append(document[:len(document):len(document)], '1')), append(document[:len(document):len(document)], '1'), false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewManager(Options{})
			taken, err := m.Offer(1, test.digest, test.document)
			assert.Equal(t, taken, test.taken)
			assert.Equal(t, err == nil, test.taken)
		})
	}
}
