// Package standin implements small stand-ins for what surrounds the entry
// instances: the platform's services, the backend servers and the workers. They
// speak the same HTTP protocols, keep a record of what they ran, and play the
// faults they are told to. They serve the demo and the tests and are no part of
// the product.
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

// maxBodyBytes bounds the body of a call to a stand-in.
const maxBodyBytes = 8 << 20

// readHeaderTimeout bounds the time that a connection may take for its headers.
const readHeaderTimeout = 10 * time.Second

// writeJSON answers with status and the JSON form of value.
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

// writeError answers with the status and the body that belong to err's kind.
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

// readJSON decodes the body of r into target, or answers with the error and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(target); err != nil {
		writeError(w, api.NewError(api.KindMalformedBody, "%v", err))
		return false
	}
	return true
}

// dropConnection ends the call without an answer: the caller sees a connection
// that breaks off.
func dropConnection() { panic(http.ErrAbortHandler) }

// pause waits for d, or until the caller has gone.
func pause(r *http.Request, d time.Duration) {
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

// Serve runs handler on listener until ctx ends; then it calls leave, waits
// for calls in flight for at most grace, and returns.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, logger *zap.Logger, leave func(), grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	logger.Info("listening", zap.String("addr", listener.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("stopping")
	leave()
	stopCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := server.Shutdown(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	logger.Info("stopped")
	return err
}
