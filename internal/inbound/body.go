package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

var (
	// ErrTooLarge is the error of a body over its limit.
	ErrTooLarge = errors.New("the body exceeds its limit")
	// ErrStalled is the error of a body of which nothing arrived for StallTimeout.
	ErrStalled = errors.New("the body did not arrive in time")
)

// firstBufferBytes is the size of the first buffer for a body of unknown length.
const firstBufferBytes = 1 << 10

// Body is a complete request body. It holds its bytes of the pool until Release.
type Body struct {
	pool   *Pool
	holder *holder
	data   []byte
}

// ReadBody reads the body of a request, of at most limit bytes. After an error the response
// closes the connection; the handler has to answer and return at once.
func (p *Pool) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	control := http.NewResponseController(w)
	b := &Body{pool: p, holder: newHolder(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })}
	c := connOf(r.Context())
	if c != nil {
		c.enter(phaseReceiving)
	}
	err := b.read(control, r, limit, c)
	if err == nil {
		err = p.finish(b.holder)
	}
	if err != nil {
		b.Release()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	if c != nil {
		c.unread.Store(false)
		c.enter(phaseWorking)
	}
	return b, nil
}

func (b *Body) read(control *http.ResponseController, r *http.Request, limit int64, c *Conn) error {
	if r.ContentLength > limit {
		return ErrTooLarge
	}
	expected := limit
	if r.ContentLength >= 0 {
		expected = r.ContentLength
	}
	if err := b.grow(min(expected, firstBufferBytes)); err != nil {
		return err
	}
	renew := func() {
		if c != nil { // a recorder in place of a connection has no deadlines
			_ = control.SetReadDeadline(time.Now().Add(c.group.stallTimeout()))
		}
	}
	renew()
	var extra [1]byte
	for {
		space := b.data[len(b.data):cap(b.data)]
		if len(space) == 0 && int64(cap(b.data)) < expected {
			if err := b.grow(min(expected, 2*int64(cap(b.data)))); err != nil {
				return err
			}
			continue
		}
		full := len(space) == 0
		if full {
			space = extra[:]
		}
		n, err := r.Body.Read(space)
		progress, evicted := b.pool.advance(b.holder, n)
		switch {
		case evicted:
			return ErrNoRoom
		case full && n > 0:
			return ErrTooLarge
		case err == nil && progress:
			renew()
		}
		if !full {
			b.data = b.data[:len(b.data)+n]
		}
		if errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return ErrStalled
		}
		if err != nil {
			return err
		}
	}
}

// grow enlarges the buffer. The part beyond smallBodyBytes is taken from the pool.
func (b *Body) grow(size int64) error {
	if size > smallBodyBytes {
		if err := b.pool.reserve(b.holder, size); err != nil {
			return err
		}
	}
	larger := make([]byte, len(b.data), size)
	copy(larger, b.data)
	b.data = larger
	return nil
}

// Decode decodes the body. Few large bodies are decoded at once; the others wait within ctx.
func (b *Body) Decode(ctx context.Context, decode func(data []byte) error) error {
	if len(b.data) > smallBodyBytes {
		if err := b.pool.awaitDecoder(ctx); err != nil {
			return err
		}
		defer func() { <-b.pool.decoders }()
	}
	return decode(b.data)
}

// awaitDecoder waits for a place in decoders.
func (p *Pool) awaitDecoder(ctx context.Context) error {
	select {
	case p.decoders <- struct{}{}:
		return nil
	default:
	}
	select {
	case p.decoders <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoRoom
	}
}

// Replace drops the bytes of the body, and reserves what the value decoded from it holds until
// Release.
func (b *Body) Replace(bytes int64) error {
	b.data = nil
	if bytes <= smallBodyBytes {
		b.pool.free(b.holder)
		return nil
	}
	return b.pool.reserve(b.holder, bytes)
}

// Release returns the bytes of the body to the pool.
func (b *Body) Release() {
	b.data = nil
	b.pool.free(b.holder)
}
