package api

import (
	"encoding/json"
	"time"
)

// ConfigApply is the body of POST /v1/config.
type ConfigApply struct {
	// Expect is the version that the operator edited. If it is not the head, the
	// call fails with KindConfigConflict.
	Expect int64 `json:"expect"`
	// Document is the complete configuration.
	Document json.RawMessage `json:"document"`
}

// ConfigVersion is the answer to POST /v1/config and GET /v1/config.
type ConfigVersion struct {
	Version   int64           `json:"version"`
	Digest    string          `json:"digest"`
	AppliedAt time.Time       `json:"applied_at"`
	Document  json.RawMessage `json:"document,omitempty"`
}

// Problem is one error found in a settings, configuration or rules file.
type Problem struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// OperatorError is the body of the answer to a refused operator call.
type OperatorError struct {
	ErrorBody
	// Problems lists every error found, for KindConfigInvalid.
	Problems []Problem `json:"problems,omitempty"`
	// Version is the version in force, for KindConfigConflict.
	Version int64 `json:"version,omitempty"`
}

// InstanceStatus describes one instance in a Status or ConfigStatus.
type InstanceStatus struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	Addr             string  `json:"addr"`
	State            string  `json:"state"`
	Placer           bool    `json:"placer"`
	Epoch            int64   `json:"epoch,omitempty"`
	ConfigVersion    int64   `json:"config_version"`
	ConfigAgeS       float64 `json:"config_age_s"`
	LastSeenS        float64 `json:"last_seen_s"`
}

// AccountStatus describes the accelerators of one client account in one
// availability zone.
type AccountStatus struct {
	Account          string `json:"account"`
	AvailabilityZone string `json:"availability_zone"`
	// Guaranteed, Used, Borrowed and Lent count accelerators.
	Guaranteed int `json:"guaranteed"`
	Used       int `json:"used"`
	Borrowed   int `json:"borrowed"`
	Lent       int `json:"lent"`
	// Waiting counts the accelerators that waiting jobs request.
	Waiting int `json:"waiting"`
	// AtRisk is the reason why the guarantee cannot currently be met, if any.
	AtRisk string `json:"at_risk,omitempty"`
}

// ZoneStatus describes one availability zone as known to its placer.
type ZoneStatus struct {
	AvailabilityZone string  `json:"availability_zone"`
	Placer           string  `json:"placer"`
	Epoch            int64   `json:"epoch"`
	PlatformReach    bool    `json:"platform_reachable"`
	Workers          int     `json:"workers"`
	WorkersSick      int     `json:"workers_sick"`
	Accelerators     int     `json:"accelerators"`
	Free             int     `json:"accelerators_free"`
	Running          int     `json:"gangs_running"`
	Waiting          int     `json:"gangs_waiting"`
	Fragmentation    float64 `json:"fragmentation"`
	BackendServers   int     `json:"backend_servers"`
}

// Status is the body of GET /v1/status.
type Status struct {
	Instance  string           `json:"instance"`
	Instances []InstanceStatus `json:"instances"`
	Zones     []ZoneStatus     `json:"zones"`
	Accounts  []AccountStatus  `json:"accounts"`
}

// ConfigHistory is the body of GET /v1/config/history, newest version first and
// without documents.
type ConfigHistory struct {
	Versions []ConfigVersion `json:"versions"`
}

// ConfigStatus is the body of GET /v1/config/status: the configuration version of
// each instance.
type ConfigStatus struct {
	// Head is the highest version that the answering instance knows.
	Head int64 `json:"head"`
	// Everywhere reports whether every listed instance has Head in force.
	Everywhere bool             `json:"everywhere"`
	Instances  []InstanceStatus `json:"instances"`
}
