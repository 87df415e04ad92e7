package inbound

import (
	"context"
	"net"
	"net/http"
	"time"
)

// HeaderTimeout is the time within which the headers of a request have to arrive.
const HeaderTimeout = 3 * time.Second

type connKey struct{}

// connOf returns the connection of a request, or nil if its server is not one of NewServer.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// NewServer returns an HTTP server for a listener of Group.Wrap. Handlers read bodies with
// Pool.ReadBody or not at all.
func NewServer(handler http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: follow(handler), ReadHeaderTimeout: HeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// follow keeps the phase of each connection, and bounds how long the server waits for the rest of a
// body that the handler has not read.
func follow(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.unread.Store(r.ContentLength != 0)
		c.enter(phaseWorking)
		defer func() {
			if c.unread.Load() {
				_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
			}
			c.enter(phaseWaiting)
		}()
		handler.ServeHTTP(w, r)
	})
}
