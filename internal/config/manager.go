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

// Checker returns the problems of a document that its schema cannot express. It returns
// none for a document that may be accepted.
type Checker func(document *Document, positions *strictjson.Positions) []api.Problem

// Options holds the dependencies of a Manager.
type Options struct {
	Tables  platform.Tables
	Objects platform.Objects
	// Check is called before a document is accepted; if nil, every document that matches
	// the schema is accepted.
	Check  Checker
	Logger *zap.Logger
}

// version is one version with the document bytes that are sent to peers.
type version struct {
	snapshot Snapshot
	document []byte
	// activatedAt is the local time at which the version came into force on this
	// instance.
	activatedAt time.Time
}

// Manager publishes configurations and holds the one in force on this instance, whose
// version never decreases. It is safe for concurrent use.
type Manager struct {
	options Options
	chart   *chart.Chart
	current atomic.Pointer[version]
	// confirmedAt is the local time at which the store last confirmed that the version in
	// force is the highest.
	confirmedAt atomic.Pointer[time.Time]
	// activateMu serializes updates of current.
	activateMu sync.Mutex
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
	if current := m.current.Load(); current != nil {
		return &current.snapshot
	}
	return nil
}

// Version returns the version in force, or zero.
func (m *Manager) Version() int64 {
	if current := m.current.Load(); current != nil {
		return current.snapshot.Version
	}
	return 0
}

// Age returns the time since the version came into force on this instance, and the time
// since the store confirmed that there is no higher one. Both are zero before the first
// version.
func (m *Manager) Age() (inForce, confirmed time.Duration) {
	current := m.current.Load()
	if current == nil {
		return 0, 0
	}
	if at := m.confirmedAt.Load(); at != nil {
		confirmed = time.Since(*at)
	}
	return time.Since(current.activatedAt), confirmed
}

// CurrentDocument returns the version in force with the bytes of its document, to be
// sent to peers; version zero means that there is none.
func (m *Manager) CurrentDocument() (number int64, digest string, document []byte) {
	current := m.current.Load()
	if current == nil {
		return 0, "", nil
	}
	return current.snapshot.Version, current.snapshot.Digest, current.document
}

// Offer puts a version received from a peer into force if it is higher than the current
// one, and reports whether it did. A document that does not match its digest or cannot
// be parsed is an error and changes nothing.
func (m *Manager) Offer(number int64, digest string, document []byte) (bool, error) {
	if number <= m.Version() {
		return false, nil
	}
	next, err := newVersion(number, digest, document)
	if err != nil {
		return false, err
	}
	return m.activate(next), nil
}

func newVersion(number int64, digest string, data []byte) (*version, error) {
	if got := digestOf(data); got != digest {
		return nil, api.NewError(api.KindConfigInvalid, "configuration %d has digest %s, not %s", number, got, digest)
	}
	document, err := decodeAccepted(data)
	if err != nil {
		return nil, api.NewError(api.KindConfigInvalid, "configuration %d: %w", number, err)
	}
	snapshot := Snapshot{Version: number, Digest: digest, Document: document, Rules: rules.NewSet(document.Rules)}
	return &version{snapshot: snapshot, document: data, activatedAt: time.Now()}, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// activate puts next into force if it is higher than the current version.
func (m *Manager) activate(next *version) bool {
	m.activateMu.Lock()
	defer m.activateMu.Unlock()
	current := m.current.Load()
	if current != nil && next.snapshot.Version <= current.snapshot.Version {
		return false
	}
	m.current.Store(next)
	m.options.Logger.Info("configuration in force",
		zap.Int64("version", next.snapshot.Version), zap.String("digest", next.snapshot.Digest))
	return true
}

// Poll reads the head once and puts a higher version into force.
func (m *Manager) Poll(ctx context.Context) error {
	_, head, err := m.head(ctx)
	if err != nil {
		return err
	}
	if head.Version > m.Version() {
		if err := m.fetch(ctx, head); err != nil {
			return err
		}
	}
	now := time.Now()
	m.confirmedAt.Store(&now)
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

func (m *Manager) fetch(ctx context.Context, record versionRecord) error {
	data, err := m.readDocument(ctx, record)
	if err != nil {
		return err
	}
	_, err = m.Offer(record.Version, record.Digest, data)
	return err
}

// readDocument reads the document of a version from the object store.
func (m *Manager) readDocument(ctx context.Context, record versionRecord) ([]byte, error) {
	packed, err := m.options.Objects.Get(ctx, record.Object)
	if err != nil {
		return nil, err
	}
	return Unpack(packed)
}

// versionRecord is the value of the head row and of the history rows.
type versionRecord struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	// Object names the document in the object store.
	Object    string    `json:"object"`
	AppliedAt time.Time `json:"applied_at"`
}

func (h versionRecord) toAPI(document json.RawMessage) api.ConfigVersion {
	return api.ConfigVersion{Version: h.Version, Digest: h.Digest, AppliedAt: h.AppliedAt, Document: document}
}
