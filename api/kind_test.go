package api

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEveryKindHasOneAnswer(t *testing.T) {
	seen := make(map[Kind]bool)
	for _, answer := range Answers {
		assert.Assert(t, !seen[answer.Kind], "two rows for %s", answer.Kind)
		seen[answer.Kind] = true
		assert.Assert(t, answer.Doc != "")
		assert.Assert(t, answer.Status >= 200)
	}
	assert.Equal(t, len(seen), len(answerByKind))
}

func TestErrorCarriesKindAndRetryAfter(t *testing.T) {
	err := NewError(KindQueueFull, "queue of %s is full", "acme")
	assert.Equal(t, KindOf(err), KindQueueFull)
	assert.Equal(t, RetryAfterS(err), 1.0)
	later := WithRetryAfter(err, 7*time.Second)
	assert.Equal(t, KindOf(later), KindQueueFull)
	assert.Equal(t, RetryAfterS(later), 7.0)
	assert.Equal(t, BodyOf(later).Message, "queue of acme is full")
}
