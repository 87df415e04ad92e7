package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Checker finds the errors of a document that its schema cannot say. It returns
// none for a document that may be accepted.
type Checker func(document *Document, positions *strictjson.Positions) []api.Problem

// Options are the parts that a Manager works with.
type Options struct {
	Tables  platform.Tables
	Objects platform.Objects
	// Check is asked before a document is accepted; nil accepts what the
	// schema accepts.
	Check  Checker
	Logger *zap.Logger
}

// version is one version with the bytes that peers get.
type version struct {
	snapshot Snapshot
	document []byte
	// since is the local time at which it came into force here.
	since time.Time
}

// Manager publishes configurations and holds the one in force on this
// instance, whose version only rises. It is safe for concurrent use.
type Manager struct {
	options Options
	chart   *chart.Chart
	current atomic.Pointer[version]
	// confirmed is the local time at which the store last said that the
	// version in force is the highest.
	confirmed atomic.Pointer[time.Time]
	// raising makes the rise of current one step at a time.
	raising sync.Mutex
}

var _ Source = (*Manager)(nil)

// NewManager returns a manager with no configuration in force.
func NewManager(options Options) *Manager {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Check == nil {
		options.Check = func(*Document, *strictjson.Positions) []api.Problem { return nil }
	}
	return &Manager{options: options, chart: chart.MustLoad("configuration")}
}

// Current implements Source.
func (m *Manager) Current() *Snapshot {
	if present := m.current.Load(); present != nil {
		return &present.snapshot
	}
	return nil
}

// Version returns the version in force, or zero.
func (m *Manager) Version() int64 {
	if present := m.current.Load(); present != nil {
		return present.snapshot.Version
	}
	return 0
}

// Age returns how long the version has been in force here, and how long ago the
// store confirmed that there is no higher one. Both are zero before the first.
func (m *Manager) Age() (inForce, confirmed time.Duration) {
	present := m.current.Load()
	if present == nil {
		return 0, 0
	}
	if at := m.confirmed.Load(); at != nil {
		confirmed = time.Since(*at)
	}
	return time.Since(present.since), confirmed
}

// Highest returns the version in force with the bytes of its document, for
// peers; version zero means none.
func (m *Manager) Highest() (number int64, digest string, document []byte) {
	present := m.current.Load()
	if present == nil {
		return 0, "", nil
	}
	return present.snapshot.Version, present.snapshot.Digest, present.document
}

// Offer puts a version that a peer has into force here, if it is higher than
// the present one. It reports whether it was. A document that does not match
// its digest, or that cannot be parsed, is an error and changes nothing.
func (m *Manager) Offer(number int64, digest string, document []byte) (bool, error) {
	if number <= m.Version() {
		return false, nil
	}
	next, err := versionOf(number, digest, document)
	if err != nil {
		return false, err
	}
	return m.raise(next), nil
}

func versionOf(number int64, digest string, data []byte) (*version, error) {
	if got := digestOf(data); got != digest {
		return nil, api.NewError(api.KindConfigInvalid, "configuration %d has digest %s, not %s", number, got, digest)
	}
	document, err := decodeAccepted(data)
	if err != nil {
		return nil, api.NewError(api.KindConfigInvalid, "configuration %d: %w", number, err)
	}
	snapshot := Snapshot{Version: number, Digest: digest, Document: document, Rules: rules.NewSet(document.Rules)}
	return &version{snapshot: snapshot, document: data, since: time.Now()}, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// raise puts next into force if it is higher than the present version.
func (m *Manager) raise(next *version) bool {
	m.raising.Lock()
	defer m.raising.Unlock()
	present := m.current.Load()
	if present != nil && next.snapshot.Version <= present.snapshot.Version {
		return false
	}
	m.current.Store(next)
	m.options.Logger.Info("configuration in force",
		zap.Int64("version", next.snapshot.Version), zap.String("digest", next.snapshot.Digest))
	return true
}

// Poll reads the head once and puts a higher version into force.
func (m *Manager) Poll(ctx context.Context) error {
	_, present, err := m.head(ctx)
	if err != nil {
		return err
	}
	if present.Version > m.Version() {
		if err := m.fetch(ctx, present); err != nil {
			return err
		}
	}
	now := time.Now()
	m.confirmed.Store(&now)
	return nil
}

// Run polls the head at an interval until ctx ends.
func (m *Manager) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := m.Poll(ctx); err != nil && ctx.Err() == nil {
			m.options.Logger.Warn("configuration poll", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) fetch(ctx context.Context, entry headRow) error {
	data, err := m.document(ctx, entry)
	if err != nil {
		return err
	}
	_, err = m.Offer(entry.Version, entry.Digest, data)
	return err
}

// document reads a version's document from the object store.
func (m *Manager) document(ctx context.Context, entry headRow) ([]byte, error) {
	packed, err := m.options.Objects.Get(ctx, entry.Object)
	if err != nil {
		return nil, err
	}
	return Unpack(packed)
}

// headRow is the value of the head row and of the history rows.
type headRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Object names the document in the object store.
	Object    string    `json:"object"`
	AppliedAt time.Time `json:"applied_at"`
}

func (h headRow) message(document json.RawMessage) api.ConfigVersion {
	return api.ConfigVersion{Version: h.Version, Digest: h.Digest, AppliedAt: h.AppliedAt, Document: document}
}
