// Package settings reads the settings of one process from a strict JSON file.
package settings

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Settings are the settings of one entry instance.
type Settings struct {
	// Instance is the id of this instance, unique among all instances.
	Instance string `json:"instance"`
	// AvailabilityZone is where this instance runs.
	AvailabilityZone string `json:"availability_zone"`
	// Listen is the IP number and port for callers and operators.
	Listen string `json:"listen"`
	// PeerListen is the IP number and port for other instances.
	PeerListen string `json:"peer_listen"`
	// Platform is the IP number and port of the platform's services.
	Platform string `json:"platform"`
	// Peers is the list of instances known at startup; the instance list adds the others.
	Peers []Peer `json:"peers"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// Limits bounds what the process uses.
	Limits Limits `json:"limits"`
	// Timing holds the durations that a deployment may tune.
	Timing Timing `json:"timing"`
}

// Peer is another entry instance.
type Peer struct {
	// Instance is the id of the other instance.
	Instance string `json:"instance"`
	// AvailabilityZone is where the other instance runs.
	AvailabilityZone string `json:"availability_zone"`
	// Addr is its IP number and port for callers and operators.
	Addr string `json:"addr"`
	// PeerAddr is its IP number and port for other instances.
	PeerAddr string `json:"peer_addr"`
}

// Limits bounds what the process uses.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxConnections bounds the open connections from callers and operators.
	MaxConnections int `json:"max_connections"`
	// MaxPeerConnections bounds the open connections that other instances have dialed; zero means
	// half of max_connections.
	MaxPeerConnections int `json:"max_peer_connections"`
	// MaxHeldBodyMB bounds what the large bodies of callers and operators hold together, in
	// megabytes, and apart from them what large messages of peers hold; zero means an eighth of
	// memory_mb. One body alone always fits.
	MaxHeldBodyMB int64 `json:"max_held_body_mb"`
	// MaxRequests bounds the requests inside the instance, waiting or not.
	MaxRequests int `json:"max_requests"`
	// MaxBackendConnections bounds the connections to one backend server.
	MaxBackendConnections int `json:"max_backend_connections"`
	// MaxJobs bounds the jobs that the placer holds in memory.
	MaxJobs int `json:"max_jobs"`
	// MaxGoroutines is the number of goroutines above which the instance is not ready.
	MaxGoroutines int `json:"max_goroutines"`
	// MemoryMB is the memory that the process may use, in megabytes; connections are bounded to a
	// quarter of it, at 64 KB each.
	MemoryMB int64 `json:"memory_mb"`
}

// Timing holds the durations that a deployment may tune, in milliseconds.
type Timing struct {
	// DefaultDeadlineMS is the deadline of a request that does not set one.
	DefaultDeadlineMS int64 `json:"default_deadline_ms"`
	// MaxDeadlineMS is the longest deadline of a request.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// PlacerLeaseMS is the length of a placer lease.
	PlacerLeaseMS int64 `json:"placer_lease_ms"`
	// WorkerLeaseMS is the time after which running tasks end unless their lease is renewed.
	WorkerLeaseMS int64 `json:"worker_lease_ms"`
	// PlaceIntervalMS is the longest time between placement rounds.
	PlaceIntervalMS int64 `json:"place_interval_ms"`
	// PeerIntervalMS is the time between state messages to peers.
	PeerIntervalMS int64 `json:"peer_interval_ms"`
	// ConfigPollMS is the time between reads of the configuration head.
	ConfigPollMS int64 `json:"config_poll_ms"`
	// ListPollMS is the time between reads of the instance list.
	ListPollMS int64 `json:"list_poll_ms"`
	// StopWithinMS bounds a graceful shutdown.
	StopWithinMS int64 `json:"stop_within_ms"`
}

// Default returns the values of the settings that a file does not set.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxBodyBytes: 1 << 20, MaxConnections: 2000, MaxRequests: 2000, MaxBackendConnections: 7,
			MaxJobs: 10000, MaxGoroutines: 20000, MemoryMB: 512,
		},
		Timing: Timing{
			DefaultDeadlineMS: 30000, MaxDeadlineMS: 600000, PlacerLeaseMS: 4000, WorkerLeaseMS: 15000,
			PlaceIntervalMS: 200, PeerIntervalMS: 500, ConfigPollMS: 500, ListPollMS: 1000, StopWithinMS: 30000,
		},
	}
}

// Milliseconds converts a number of milliseconds to a time.Duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

//go:embed schema.json
var schemaJSON []byte

var schema = strictjson.MustCompile("settings.json", schemaJSON)

// Load reads and checks a settings file. All problems are returned together in a
// *strictjson.Error.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse checks data and returns the settings, with defaults for absent fields.
func Parse(file string, data []byte) (*Settings, error) {
	settings := Default()
	if err := schema.Decode(file, data, &settings); err != nil {
		return nil, err
	}
	if problems := settings.check(strictjson.Index(file, data)); len(problems) > 0 {
		return nil, &strictjson.Error{Problems: problems}
	}
	return &settings, nil
}

// check finds problems that the schema cannot express: addresses must be IP numbers
// with a port, and ids must be unique.
func (s *Settings) check(positions *strictjson.Positions) []api.Problem {
	var problems []api.Problem
	checkAddress := func(path, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			problems = append(problems, positions.Problem(path, "is not an IP number and port: "+value))
		}
	}
	checkAddress("/listen", s.Listen)
	checkAddress("/peer_listen", s.PeerListen)
	checkAddress("/platform", s.Platform)
	seen := map[string]bool{s.Instance: true}
	for i, peer := range s.Peers {
		path := fmt.Sprintf("/peers/%d", i)
		checkAddress(path+"/addr", peer.Addr)
		checkAddress(path+"/peer_addr", peer.PeerAddr)
		if seen[peer.Instance] {
			problems = append(problems, positions.Problem(path+"/instance", "duplicate instance "+peer.Instance))
		}
		seen[peer.Instance] = true
	}
	return problems
}
