package api

import (
	"encoding/json"
	"time"
)

// Ref identifies one row of the platform's table service.
type Ref struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is one row with its version. Version 0 means that the row does not exist.
type Row struct {
	Ref
	Version int64 `json:"version"`
	// WriteID is the id of the transaction that wrote this version.
	WriteID string          `json:"write_id,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Op is one conditional operation of a transaction.
type Op struct {
	Ref
	// IfVersion must equal the row's version; 0 means that the row must not exist.
	IfVersion int64           `json:"if_version"`
	Value     json.RawMessage `json:"value,omitempty"`
	// Delete removes the row instead of writing it.
	Delete bool `json:"delete,omitempty"`
	// Check only compares the version and writes nothing.
	Check bool `json:"check,omitempty"`
}

// Tx is the body of POST /v1/tables/commit. Either all of its operations take
// effect or none does.
type Tx struct {
	// WriteID is unique to the transaction; a repeated id is not applied twice.
	WriteID string `json:"write_id"`
	Ops     []Op   `json:"ops"`
}

// TxAnswer is the answer to POST /v1/tables/commit.
type TxAnswer struct {
	Done bool `json:"done"`
	// Conflicts lists the rows whose version differed, in their current state.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Now is the time by the store's clock.
	Now time.Time `json:"now"`
}

// ReadQuery is the body of POST /v1/tables/read.
type ReadQuery struct {
	Refs []Ref `json:"refs"`
}

// ScanQuery is the body of POST /v1/tables/scan.
type ScanQuery struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	// After is the last key of the previous page.
	After string `json:"after,omitempty"`
	Limit int    `json:"limit"`
}

// Rows is the answer to a read or a scan.
type Rows struct {
	Rows []Row `json:"rows"`
	// More reports whether another page follows.
	More bool `json:"more,omitempty"`
	// Now is the time by the store's clock.
	Now time.Time `json:"now"`
}

// Role is the function of an instance in the platform's instance list.
type Role string

// The roles of the platform's instance list.
const (
	RoleEntry         Role = "entry"
	RoleBackendServer Role = "backend_server"
	RoleWorker        Role = "worker"
)

// ListedInstance is one entry of the platform's instance list.
type ListedInstance struct {
	ID               string `json:"id"`
	Role             Role   `json:"role"`
	Addr             string `json:"addr"`
	PeerAddr         string `json:"peer_addr,omitempty"`
	AvailabilityZone string `json:"availability_zone"`
	// Incarnation increases each time the instance returns under the same id.
	Incarnation int64 `json:"incarnation"`
	// Leaving reports that the instance is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the answer to GET /v1/instances. It lags behind the actual
// state.
type InstanceList struct {
	Instances []ListedInstance `json:"instances"`
	AsOf      time.Time        `json:"as_of"`
}
