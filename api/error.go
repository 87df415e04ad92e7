package api

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

type kindKey struct{}

type retryAfterKey struct{}

// NewError makes an error of the given kind. The message is for people.
func NewError(kind Kind, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithValue(kindKey{}, kind), merry.NoCaptureStack())
}

// WithRetryAfter attaches the time to come back to err.
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

// RetryAfterOf returns the time to come back that was attached to err. Zero is at once.
func RetryAfterOf(err error) (after time.Duration, attached bool) {
	after, attached = merry.Value(err, retryAfterKey{}).(time.Duration)
	return after, attached
}

// RetryAfterS returns the time to come back for err, in seconds: the attached
// one, else the default of its kind.
func RetryAfterS(err error) float64 {
	if after, ok := RetryAfterOf(err); ok {
		return after.Seconds()
	}
	return AnswerFor(KindOf(err)).RetryAfterS
}

// ErrorBody is the JSON form of an error between corianderbank, the platform
// and the workers.
type ErrorBody struct {
	// Kind is the error kind.
	Kind Kind `json:"error_kind"`
	// Message is for people.
	Message string `json:"message"`
	// RetryAfterS is the time to come back, in seconds; zero means never.
	RetryAfterS float64 `json:"retry_after_s"`
	// Epoch is the highest epoch seen, set with KindStaleEpoch.
	Epoch int64 `json:"epoch,omitempty"`
}

// BodyOf returns the JSON form of err.
func BodyOf(err error) ErrorBody {
	return ErrorBody{Kind: KindOf(err), Message: err.Error(), RetryAfterS: RetryAfterS(err)}
}
