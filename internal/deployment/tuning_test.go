package deployment

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTuningRejectsUnknownMechanismsNumbersAndChoices(t *testing.T) {
	for tuning, problem := range map[string]string{
		`{}`:                                   "",
		`{"without":["headroom","cut_watch"]}`: "",
		`{"numbers":{"reservations":1},"choices":{"spread":"one_zone","order":"slack"}}`: "",
		`{"without":["everything"]}`:      "everything",
		`{"numbers":{"luck":7}}`:          "luck",
		`{"choices":{"spread":"thinly"}}`: "thinly",
		`{"choices":{"colour":"red"}}`:    "colour",
	} {
		t.Run(tuning, func(t *testing.T) {
			_, err := DecodeSettings("settings", fmt.Appendf(nil, `{"instance":"a","availability_zone":"z","store":"127.0.0.1:1",
				"listen":{"callers":"127.0.0.1:2","ready":"127.0.0.1:3","peers":"127.0.0.1:4"},"tuning":%s}`, tuning))
			if problem == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, problem)
		})
	}
}
