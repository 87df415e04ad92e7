package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{"instance":"i-1","availability_zone":"nl-west-a","listen":"127.0.0.1:7001","peer_listen":"127.0.0.1:7101","platform":"127.0.0.1:6000"}`

func TestParse(t *testing.T) {
	cases := map[string]struct {
		data string
		want []string
	}{
		"valid settings are accepted":        {validSettings, nil},
		"a host name is not an address":      {strings.Replace(validSettings, "127.0.0.1:6000", "localhost:6000", 1), []string{"/platform: is not an IP number and port"}},
		"an unknown field is named":          {strings.Replace(validSettings, `{`, `{"colour":1,`, 1), []string{"colour"}},
		"a number out of range is named":     {strings.Replace(validSettings, `{`, `{"limits":{"max_requests":0},`, 1), []string{"/limits/max_requests"}},
		"two problems are returned together": {strings.Replace(strings.Replace(validSettings, "i-1", "", 1), `"nl-west-a"`, "7", 1), []string{"/instance", "/availability_zone"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			settings, err := Parse("s.json", []byte(test.data))
			if test.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, settings.Limits.MaxRequests, Default().Limits.MaxRequests)
				return
			}
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
			assert.Equal(t, strings.Count(err.Error(), "\n"), len(test.want)-1, err.Error())
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers":[{"instance":"x"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("s.json", data)
	})
}
