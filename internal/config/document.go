// Package config holds the configuration: its document, its versions in the platform's
// store, and its distribution to all instances.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"io"

	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// Document is one whole configuration, as written by an operator.
type Document struct {
	// Accounts lists the client accounts; names are unique.
	Accounts []model.ClientAccount `json:"client_accounts"`
	// Rules is the ordered list of rules; the first match decides.
	Rules []rules.Rule `json:"rules"`
	// Objectives weighs completion time against fragmentation.
	Objectives model.Objectives `json:"objectives"`
}

//go:embed schema.json
var schemaJSON []byte

var schema = strictjson.MustCompile("configuration.json", schemaJSON)

// Parse validates data against the schema and returns the document. All problems are
// returned together in a *strictjson.Error.
func Parse(file string, data []byte) (*Document, error) {
	var document Document
	if err := schema.Decode(file, data, &document); err != nil {
		return nil, err
	}
	return &document, nil
}

// decodeAccepted decodes a document that was validated when it was accepted; the digest
// ensures that it is unchanged. Schema validation is skipped because it takes a
// millisecond per account. A field unknown to this build is an error.
func decodeAccepted(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var document Document
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the end of the document")
	}
	return &document, nil
}

// Account returns the client account with the given name.
func (d *Document) Account(name string) (model.ClientAccount, bool) {
	for _, account := range d.Accounts {
		if account.Name == name {
			return account, true
		}
	}
	return model.ClientAccount{}, false
}

// Snapshot is a version of the configuration in force. It is immutable.
type Snapshot struct {
	Version  int64
	Digest   string
	Document *Document
	Rules    *rules.Set
}

// Source provides the configuration in force on this instance.
type Source interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *Snapshot
}
