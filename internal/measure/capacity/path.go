package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderbank/corianderbank/api"
)

// Path is a request path to a backend server, either direct or through an entry
// instance.
type Path struct {
	Name string
	// URL is the target of the POST requests, for example
	// http://127.0.0.1:7001/v1/requests.
	URL string
	// Direct is set if URL belongs to a backend server.
	Direct bool
}

// PathResult holds the throughput and latencies that callers of a path measured.
// Both include the calls without a successful answer.
type PathResult struct {
	Name        string
	Concurrency int
	PerSecond   float64
	P50, P99    time.Duration
	// NotDone counts the calls without a successful answer.
	NotDone int64
}

// maxLatency is the highest latency that the histogram records.
const maxLatency = time.Minute

// requestTimeout bounds one call.
const requestTimeout = 30 * time.Second

// MeasurePath keeps as many calls in flight as concurrency states, for the given
// duration. Each call asks the backend server to work for the duration work.
func MeasurePath(path Path, concurrency int, duration, work time.Duration) PathResult {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: concurrency, MaxConnsPerHost: concurrency}}
	deadline := time.Now().Add(duration)
	var (
		mu        sync.Mutex
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
		notDone   atomic.Int64
		callers   sync.WaitGroup
	)
	started := time.Now()
	for caller := range concurrency {
		callers.Go(func() {
			for i := 0; time.Now().Before(deadline); i++ {
				start := time.Now()
				if !call(client, path, fmt.Sprintf("p-%d-%d", caller, i), work) {
					notDone.Add(1)
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	client.CloseIdleConnections()
	return PathResult{
		Name: path.Name, Concurrency: concurrency, NotDone: notDone.Load(),
		PerSecond: float64(histogram.TotalCount()) / time.Since(started).Seconds(),
		P50:       time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond,
		P99:       time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// call sends one request and reports whether it succeeded.
func call(client *http.Client, path Path, id string, work time.Duration) bool {
	payload := json.RawMessage(fmt.Sprintf(`{"work_ms":%d}`, work.Milliseconds()))
	var body any = api.RequestSubmission{Account: "acme", Kind: "scan", Idempotent: true, Payload: payload}
	if path.Direct {
		body = api.Execute{ID: id, Account: "acme", Kind: "scan", Payload: payload}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, path.URL, strings.NewReader(string(data)))
	if err != nil {
		return false
	}
	request.Header.Set(api.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
