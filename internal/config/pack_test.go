package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestUnpackReversesPack(t *testing.T) {
	document := []byte(strings.Repeat(`{"client_accounts":[]}`, 1000))
	packed := Pack(document)
	assert.Assert(t, len(packed) < len(document)/10)
	unpacked, err := Unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, document)
}

func TestUnpackRejectsDamagedData(t *testing.T) {
	valid := Pack([]byte(`{"client_accounts":[],"rules":[]}`))
	cases := map[string][]byte{
		"no data":            nil,
		"not packed":         []byte(`{"client_accounts":[]}`),
		"truncated":          valid[:len(valid)-3],
		"a changed checksum": append(append([]byte(nil), valid[:len(valid)-8]...), 0, 0, 0, 0, 0, 0, 0, 0),
	}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(packed)
			assert.Assert(t, api.IsKind(err, api.KindConfigInvalid), "%v", err)
		})
	}
}

func TestOfferRejectsDamagedDocuments(t *testing.T) {
	document := []byte(`{"client_accounts":[],"rules":[{"name":"all","when":{},"then":{}}]}`)
	unknown := []byte(`{"client_accounts":[],"rules":[],"colour":1}`)
	cases := map[string]struct {
		digest   string
		document []byte
		accepted bool
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
			accepted, err := m.Offer(1, test.digest, test.document)
			assert.Equal(t, accepted, test.accepted)
			assert.Equal(t, err == nil, test.accepted)
		})
	}
}
