package deployment

import (
	"cmp"
	_ "embed"
	"encoding/base64"
	"os"
	"time"

	"github.com/corianderbank/corianderbank/internal/inbound"
	"github.com/corianderbank/corianderbank/internal/strictjson"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Settings are the settings of one instance of a deployment-wide scheduler.
type Settings struct {
	// Instance is the name of this instance.
	Instance string `json:"instance"`
	// AvailabilityZone is where this instance runs.
	AvailabilityZone string `json:"availability_zone"`
	// Listen holds the addresses to listen on, IP number and port.
	Listen Listen `json:"listen"`
	// Seeds are addresses on which some instances listen for peers; they may be stale.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Advisor is the address of the placement advisor, if there is one.
	Advisor string `json:"advisor"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// Processor is the processor time that the process may use. Larger instances
	// schedule first.
	Processor Processor `json:"processor"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// Descriptors is the number of file descriptors that the process may have open;
	// zero means no bound.
	Descriptors int `json:"descriptors"`
	// Inbound bounds what callers and peers can make the process hold.
	Inbound Inbound `json:"inbound"`
	// RowBytes is the largest value of a row that the store takes, in bytes of base64.
	RowBytes int `json:"row_bytes"`
	// StopWithinMS is the time that a planned stop may take, in milliseconds.
	StopWithinMS int64 `json:"stop_within_ms"`
	// Bounds are the deployment's fixed times and factors.
	Bounds BoundSettings `json:"bounds"`
	// Tuning changes mechanisms, numbers and choices for measurements.
	Tuning Tuning `json:"tuning"`
}

// Processor is a share of a number of cores. Both are zero if unknown; then all
// instances count as equally large.
type Processor struct {
	Share float64 `json:"share"`
	Cores float64 `json:"cores"`
}

func (p Processor) cores() float64 { return p.Share * p.Cores }

const (
	// workerDescriptorShare is the share of the descriptors for connections to workers, before
	// inbound.OtherDescriptors.
	workerDescriptorShare = 0.625
	// leastInboundShare is the least share of the descriptors for inbound connections, as a
	// divisor.
	leastInboundShare = 8
)

// WorkerConnections returns how many connections to workers the process may have open;
// zero means no bound.
func (s *Settings) WorkerConnections() int {
	if s.Descriptors == 0 {
		return 0
	}
	return max(int(workerDescriptorShare*float64(s.Descriptors))-inbound.OtherDescriptors, s.Descriptors/2)
}

// Inbound bounds what callers and peers can make the process hold. A field that is zero is derived
// from the memory and the descriptors.
type Inbound struct {
	// Connections bounds the open connections of callers.
	Connections int `json:"connections"`
	// PeerConnections bounds the open connections that other instances have dialed.
	PeerConnections int `json:"peer_connections"`
	// BodyKB bounds what large bodies of callers hold together, in kilobytes; one alone always fits.
	BodyKB int64 `json:"body_kb"`
	// PeerKB bounds what large messages of peers hold together, in kilobytes; one alone always fits.
	PeerKB int64 `json:"peer_kb"`
}

// InboundLimits returns the bounds of what callers and peers can make the process hold.
func (s *Settings) InboundLimits() inbound.Limits {
	limits := inbound.Derive(s.MemoryMB)
	if d := s.Descriptors; d > 0 {
		limits = limits.Within(max(d-s.WorkerConnections()-inbound.OtherDescriptors, d/leastInboundShare))
	}
	own := s.Inbound
	return inbound.Limits{
		Connections: cmp.Or(own.Connections, limits.Connections), PeerConnections: cmp.Or(own.PeerConnections, limits.PeerConnections),
		BodyBytes: cmp.Or(own.BodyKB<<10, limits.BodyBytes), PeerBytes: cmp.Or(own.PeerKB<<10, limits.PeerBytes),
	}
}

// Listen holds the addresses that an instance listens on.
type Listen struct {
	// Callers is for callers.
	Callers string `json:"callers"`
	// Ready is for the balancer's readiness checks.
	Ready string `json:"ready"`
	// Peers is for other instances. It also identifies this instance to them.
	Peers string `json:"peers"`
	// Metrics is for metrics; empty serves none.
	Metrics string `json:"metrics"`
}

// BoundSettings are the deployment's fixed times and factors. A missing bound takes a
// cautious default.
type BoundSettings struct {
	// LongestLeaseMS is the longest lease that a worker grants, in milliseconds.
	LongestLeaseMS int64 `json:"longest_lease_ms"`
	// StopMS is the longest time that a worker takes to stop a task, in milliseconds.
	StopMS int64 `json:"stop_ms"`
	// ReclaimMS is the time within which guaranteed capacity must be available, in
	// milliseconds.
	ReclaimMS int64 `json:"reclaim_ms"`
	// StatusKeptS is the time for which the state of an ended job is kept, in seconds.
	StatusKeptS float64 `json:"status_kept_s"`
	// RemoteFactor is the factor by which tasks take longer away from their rack.
	RemoteFactor float64 `json:"remote_factor"`
	// DrainZoneMS is the time after an operator's order to drain an availability zone
	// within which starts there must cease, in milliseconds.
	DrainZoneMS int64 `json:"drain_zone_ms"`
}

//go:embed settings.schema.json
var settingsSchema []byte

var compiledSettings = strictjson.MustCompile("deployment-settings.schema.json", settingsSchema)

// defaultSettings returns the values for settings that a file omits. The default bounds
// are cautious, so that guarantees hold: long leases, quick reclaim.
func defaultSettings() Settings {
	return Settings{
		LogLevel: "info", MemoryMB: 256, RowBytes: 65_536, StopWithinMS: 4500,
		Bounds: BoundSettings{
			LongestLeaseMS: 10_000, StopMS: 1000, ReclaimMS: 2000, StatusKeptS: 120, RemoteFactor: 3, DrainZoneMS: 5000,
		},
	}
}

// LoadSettings reads and checks a settings file. The error names every problem with its
// line and path.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeSettings(file, data)
}

// DecodeSettings checks and decodes settings.
func DecodeSettings(file string, data []byte) (*Settings, error) {
	s := defaultSettings()
	if err := compiledSettings.Decode(file, data, &s); err != nil {
		return nil, err
	}
	return &s, s.Tuning.check()
}

const (
	// maxWriteBytes bounds a write to the store, in bytes of its body. writeOverheadBytes is what is
	// left of it for keys, versions and the rows of workers and knowledge.
	maxWriteBytes      = 1_000_000
	writeOverheadBytes = 100_000
)

// writeLimits returns the bounds of a write, in bytes before their encoding as base64.
func (s *Settings) writeLimits() workload.WriteLimits {
	return workload.WriteLimits{
		RowBytes: base64.StdEncoding.DecodedLen(s.RowBytes), Bytes: base64.StdEncoding.DecodedLen(maxWriteBytes - writeOverheadBytes), Entries: maxEntriesPerWrite,
	}
}

// drainLimit returns the time within which starts in a drained zone must cease.
func (s *Settings) drainLimit() time.Duration {
	return time.Duration(s.Bounds.DrainZoneMS) * time.Millisecond
}

func (s *Settings) bounds() workload.Bounds {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	b := s.Bounds
	return workload.Bounds{
		MaxLease: ms(b.LongestLeaseMS), MaxStopTime: ms(b.StopMS), MaxReclaimTime: ms(b.ReclaimMS),
		StatusRetention: time.Duration(b.StatusKeptS * float64(time.Second)), RemoteFactor: b.RemoteFactor,
	}
}
