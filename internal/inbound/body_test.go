package inbound

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// readServer answers each request with the length of its body, or the error of reading it.
func readServer(t *testing.T, pool *Pool, limit int64, connections int) string {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", CallerReceiveBytes)
	assert.NilError(t, err)
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := pool.ReadBody(w, r, limit)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			defer body.Release()
			_ = body.Decode(r.Context(), func(data []byte) error {
				_, err := fmt.Fprint(w, len(data))
				return err
			})
		}
	}), time.Minute)
	go func() { _ = server.Serve(NewGroup(t.Name(), connections, zap.NewNop()).Wrap(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String()
}

func TestBodiesOfAnySizeAndEncoding(t *testing.T) {
	const limit = 100_000
	url := readServer(t, NewPool(t.Name(), limit, 10, zap.NewNop()), limit, 10)
	for _, size := range []int{0, 1, firstBufferBytes, smallBodyBytes, smallBodyBytes + 1, limit - 1, limit, limit + 1} {
		for name, body := range map[string]io.Reader{
			"of declared length":    bytes.NewReader(make([]byte, size)),
			"in chunks":             io.MultiReader(bytes.NewReader(make([]byte, size))),
			"in chunks of one byte": io.MultiReader(iotest.OneByteReader(bytes.NewReader(make([]byte, size)))),
		} {
			t.Run(fmt.Sprintf("%d bytes %s", size, name), func(t *testing.T) {
				response, err := http.Post(url, "", body)
				assert.NilError(t, err)
				defer func() { _ = response.Body.Close() }()
				answer, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				if size > limit {
					assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
					return
				}
				assert.Equal(t, string(answer), fmt.Sprint(size))
			})
		}
	}
}

// stall opens a request and sends all of its body but the last byte.
func stall(t *testing.T, url string, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	assert.NilError(t, err)
	return conn
}

// setIdle makes all that holds bytes of the pool have made its last progress a time ago.
func setIdle(pool *Pool, ago time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for h := range pool.holders {
		h.startedAt = time.Now().Add(-ago)
		h.progressAt = h.startedAt
	}
}

func TestStalledBodiesAreEvictedAndSmallOnesNeedNoRoom(t *testing.T) {
	const size = 50_000
	pool := NewPool(t.Name(), size, 10, zap.NewNop())
	url := readServer(t, pool, size, 10)
	stalled := stall(t, url, size)
	for pool.inUse() < size {
		time.Sleep(time.Millisecond)
	}
	post := func(size int) int {
		response, err := http.Post(url, "", bytes.NewReader(make([]byte, size)))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	setIdle(pool, -time.Hour)
	assert.Equal(t, post(smallBodyBytes), http.StatusOK)
	assert.Equal(t, post(size), http.StatusServiceUnavailable, "the body has not stalled yet")
	setIdle(pool, stalledAfter)
	assert.Equal(t, post(size), http.StatusOK)
	answer, err := io.ReadAll(stalled)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 503"), "%s", answer)
	assert.Equal(t, pool.inUse(), int64(0))
}
