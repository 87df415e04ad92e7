package api

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

type kindKey struct{}

type retryAfterKey struct{}

// NewError returns an error of the given kind with a human-readable message.
func NewError(kind Kind, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey{}, kind), merry.NoCaptureStack())
}

// WithRetryAfter returns err with a retry delay attached.
func WithRetryAfter(err error, after time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey{}, after), merry.NoCaptureStack())
}

// KindOf returns the kind attached to err, or KindInternal if there is none.
func KindOf(err error) Kind {
	if kind, ok := merry.Value(err, kindKey{}).(Kind); ok {
		return kind
	}
	return KindInternal
}

// IsKind reports whether err carries the given kind.
func IsKind(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// RetryAfterOf returns the retry delay attached to err and reports whether there
// is one. An attached delay of zero allows an immediate retry.
func RetryAfterOf(err error) (after time.Duration, attached bool) {
	after, attached = merry.Value(err, retryAfterKey{}).(time.Duration)
	return after, attached
}

// RetryAfterS returns the retry delay for err in seconds: the attached one, or
// else the default of its kind.
func RetryAfterS(err error) float64 {
	if after, ok := RetryAfterOf(err); ok {
		return after.Seconds()
	}
	return AnswerFor(KindOf(err)).RetryAfterS
}

// ErrorBody is the JSON form of an error sent between corianderbank, the platform
// and the workers.
type ErrorBody struct {
	// Kind is the error kind.
	Kind Kind `json:"error_kind"`
	// Message is a human-readable explanation.
	Message string `json:"message"`
	// RetryAfterS is the retry delay in seconds; zero means that the same call
	// should not be retried.
	RetryAfterS float64 `json:"retry_after_s"`
	// Epoch is the highest epoch seen, set for KindStaleEpoch.
	Epoch int64 `json:"epoch,omitempty"`
}

// BodyOf returns the JSON form of err.
func BodyOf(err error) ErrorBody {
	return ErrorBody{Kind: KindOf(err), Message: err.Error(), RetryAfterS: RetryAfterS(err)}
}
