package decision

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/corianderbank/corianderbank/api"
)

func TestRecorderKeepsTheNewestSubjects(t *testing.T) {
	recorder := NewRecorder(zap.NewNop(), "i-1", 2)
	for i := range 4 {
		recorder.Record(api.Decision{Subject: fmt.Sprint("r-", i), Step: "route"})
	}
	assert.Equal(t, len(recorder.Explain("r-1")), 0)
	assert.Equal(t, len(recorder.Explain("r-2")), 1)
	assert.Equal(t, recorder.Explain("r-3")[0].Instance, "i-1")
}

func TestRecorderKeepsARepeatedDecisionOnce(t *testing.T) {
	recorder := NewRecorder(zap.NewNop(), "i-1", 2)
	for range 3 {
		recorder.Record(api.Decision{Subject: "j", Step: "wait", Reason: "no rack is free"})
	}
	assert.Equal(t, len(recorder.Explain("j")), 1)
}

func TestRecorderBoundsOneSubject(t *testing.T) {
	recorder := NewRecorder(zap.NewNop(), "i-1", 2)
	for i := range 3 * maxPerSubject {
		recorder.Record(api.Decision{Subject: "j", Step: "wait", Reason: fmt.Sprint(i)})
	}
	kept := recorder.Explain("j")
	assert.Equal(t, len(kept), maxPerSubject)
	assert.Equal(t, kept[0].Reason, "0")
	assert.Equal(t, kept[len(kept)-1].Reason, fmt.Sprint(3*maxPerSubject-1))
}
