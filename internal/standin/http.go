// Package standin implements simple simulations (stand-ins) of the systems that
// entry instances depend on: the platform services, the backend servers and the
// workers. They implement the same HTTP protocols, record the work they run and
// inject faults on request. They are used by the demo and the tests only and
// are not part of the product.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 8 << 20

// readHeaderTimeout bounds the time for reading the headers of a request.
const readHeaderTimeout = 10 * time.Second

// writeJSON writes a response with status and value encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// writeError writes the response for err, with the status of its error kind.
func writeError(w http.ResponseWriter, err error) {
	writeErrorBody(w, api.BodyOf(err))
}

func writeErrorBody(w http.ResponseWriter, body api.ErrorBody) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(api.AnswerFor(body.Kind).Status)
	_, _ = w.Write(data)
}

// readJSON decodes the body of r into target. If that fails, it writes the error
// response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		writeError(w, api.NewError(api.KindMalformedBody, "%v", err))
		return false
	}
	return true
}

// dropConnection aborts the handler without a response, which closes the
// connection.
func dropConnection() { panic(http.ErrAbortHandler) }

// sleep waits for d or until the context of r is done.
func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Serve serves handler on listener until ctx is done. It then calls onStop, waits
// up to gracePeriod for requests in flight, closes the remaining connections and
// returns.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, logger *zap.Logger, onStop func(), gracePeriod time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	logger.Info("listening", zap.String("addr", listener.Addr().String()))
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	logger.Info("stopping")
	onStop()
	stopCtx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	err := server.Shutdown(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	logger.Info("stopped")
	return err
}
