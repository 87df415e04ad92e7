package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crowdLasts is how long a crowd plays before the ordinary request is sent.
const crowdLasts = 3 * time.Second

// client plays one connection until it is closed.
type client func(conn net.Conn, number int)

// crowd opens connections and opens each again once it is closed. Until stop is called, none of
// them is closed by its client.
type crowd struct {
	addr  string
	play  client
	ended chan struct{}
	conns sync.WaitGroup
}

func (c *crowd) start(size int) {
	c.ended = make(chan struct{})
	for n := range size {
		c.conns.Go(func() {
			for c.sleep(pollInterval) {
				c.connect(n)
			}
		})
	}
}

func (c *crowd) sleep(d time.Duration) bool {
	select {
	case <-c.ended:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *crowd) connect(number int) {
	conn, err := net.DialTimeout("tcp", c.addr, requestTimeout)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		select {
		case <-c.ended:
		case <-closed:
		}
		_ = conn.Close()
	}()
	defer close(closed)
	c.play(conn, number)
}

func (c *crowd) stop() {
	close(c.ended)
	c.conns.Wait()
}

// bounds are the limits of a process's settings.
type bounds struct{ memoryMB, descriptors int }

// withstands plays a crowd against a process. Ordinary requests must be answered while the crowd
// keeps its connections open and after it has gone.
func withstands(t *testing.T, p *process, c *crowd, size int, b bounds, answered func() bool) {
	t.Helper()
	waitFor(t, "answer before the crowd", answered)
	c.start(size)
	most := usage{}
	for end := time.Now().Add(crowdLasts); time.Now().Before(end); time.Sleep(pollInterval) {
		most.add(p.sample())
	}
	waitFor(t, "answer beside the crowd", func() bool {
		most.add(p.sample())
		return answered()
	})
	c.stop()
	waitFor(t, "answer after the crowd", answered)
	most.add(usage{resident: p.peak()})
	t.Log(most)
	assert.Check(t, p.lives(), "the process has ended")
	assert.Check(t, most.both <= b.memoryMB*mb, "uses %s of %d MB", most, b.memoryMB)
	assert.Check(t, most.descriptors <= b.descriptors, "uses %s of %d descriptors", most, b.descriptors)
}

// stopsBeside stops a process beside a crowd.
func stopsBeside(t *testing.T, p *process, c *crowd, size int) {
	t.Helper()
	c.start(size)
	time.Sleep(crowdLasts)
	assert.NilError(t, p.stops())
	c.stop()
}

// servedSlowly sends a body in pieces with pauses, and reports whether it is answered with 2xx.
func servedSlowly(t *testing.T, addr, path, body string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, post(path, contentLength(len(body))))
	assert.NilError(t, err)
	for piece := range slices.Chunk([]byte(body), len(body)/slowPieces) {
		time.Sleep(tricklePause)
		_, err = conn.Write(piece)
		assert.NilError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	t.Log(response.Status)
	return response.StatusCode/100 == 2
}

// slowPieces is the number of pieces of a body on a slow line.
const slowPieces = 40

// post is the start of a request with a body.
func post(path, header string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer key\r\nContent-Type: application/json\r\n" + header + "\r\n"
}

const (
	host          = "bank"
	largeChunk    = 32 << 10
	tricklePause  = 200 * time.Millisecond
	headerBytes   = 14 << 10
	pipelinedMost = 2000
)

// reads plays what a client writes, and reads and discards the responses.
func reads(write client) client {
	return func(conn net.Conn, number int) {
		go write(conn, number)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sends writes a request's head and then its body.
func sends(path func(number int) string, header, body string) client {
	return reads(func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, post(path(number), header)+body[:min(len(body), largeChunk)])
		_, _ = io.WriteString(conn, body[min(len(body), largeChunk):])
	})
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

// chunked encodes a body without the last chunk.
func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

// slowly sends half of a body and then a byte at a time.
func slowly(path func(number int) string, body string) client {
	return reads(func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, post(path(number), contentLength(len(body)))+body[:len(body)/2])
		for n := len(body) / 2; n < len(body)-1; n++ {
			time.Sleep(tricklePause)
			if _, err := io.WriteString(conn, body[n:n+1]); err != nil {
				return
			}
		}
	})
}

// afterContinue sends a body without its last byte once the server has asked for it.
func afterContinue(path func(number int) string, body string) client {
	return func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, post(path(number), "Expect: 100-continue\r\n"+contentLength(len(body))))
		if _, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 100"))); err != nil {
			return
		}
		reads(func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, body[:len(body)-1]) })(conn, number)
	}
}

// endlessHeaders sends headers without their end.
var endlessHeaders = reads(func(conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: "+host+"\r\nX-Pad: "+strings.Repeat("x", headerBytes))
})

// silent sends nothing.
var silent = reads(func(net.Conn, int) {})

// pipelined sends requests without reading a response.
func pipelined(path string) client {
	request := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer key\r\n\r\n"
	return func(conn net.Conn, _ int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		for n := 0; ; n++ {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
			if n > pipelinedMost {
				time.Sleep(tricklePause)
			}
		}
	}
}

// bodyKinds are the ways to send bodies of a door that takes them.
func bodyKinds(path func(number int) string, body string) map[string]client {
	short := body[:len(body)-1]
	return map[string]client{
		"bodies one byte short":                    sends(path, contentLength(len(body)), short),
		"bodies in large chunks one byte short":    sends(path, chunkedHeader, chunked(short, largeChunk)),
		"bodies in chunks of a byte one short":     sends(path, chunkedHeader, chunked(short, 1)),
		"half of a body and then a byte at a time": slowly(path, body),
		"bodies after 100-continue one byte short": afterContinue(path, body),
		"bodies with trailers that do not end":     sends(path, chunkedHeader+"Trailer: X-End\r\n", chunked(body, largeChunk)+"0\r\nX-End: x"),
	}
}
