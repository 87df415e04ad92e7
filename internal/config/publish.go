package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/chart"
	"github.com/corianderbank/corianderbank/internal/platform"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// The tables. The head row and the history rows are never deleted.
const (
	tableHead    = "config"
	headKey      = "head"
	tableHistory = "config_history"
)

// historyPageSize bounds one read of the history.
const historyPageSize = 200

// The events of a proposal in charts/configuration.json.
const (
	eventValid     chart.Event = "valid"
	eventInvalid   chart.Event = "invalid"
	eventStored    chart.Event = "stored"
	eventHeadMoved chart.Event = "head_moved"
	eventHeadLost  chart.Event = "head_lost"
	eventLose      chart.Event = "lose"
)

// ConflictError reports that another version was accepted first.
type ConflictError struct {
	// Version is the version in force.
	Version int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force", e.Version)
}

// proposal is the state of an operator's document in the chart.
type proposal struct {
	manager *Manager
	state   chart.State
	version int64
}

// apply applies an event to the proposal and logs it.
func (p *proposal) apply(event chart.Event) {
	next, err := p.manager.chart.Next(p.state, event)
	if err != nil {
		p.manager.options.Logger.Error("configuration proposal", zap.Error(err))
		return
	}
	p.state = next
	p.manager.options.Logger.Info("configuration proposal",
		zap.Int64("version", p.version), zap.String("event", string(event)), zap.String("state", string(next)))
}

// Check parses data and runs the Checker. All problems are returned together in a
// *strictjson.Error of KindConfigInvalid.
func (m *Manager) Check(file string, data []byte) (*Document, error) {
	document, err := Parse(file, data)
	if err != nil {
		return nil, api.NewError(api.KindConfigInvalid, "%w", err)
	}
	if problems := m.options.Check(document, strictjson.Index(file, data)); len(problems) > 0 {
		return nil, api.NewError(api.KindConfigInvalid, "%w", &strictjson.Error{Problems: problems})
	}
	return document, nil
}

// Publish makes data the configuration that follows version expect. Errors have
// KindConfigInvalid with all problems in a *strictjson.Error, KindConfigConflict with
// the version in force in a *ConflictError, KindStoreUnavailable if nothing was
// applied, or KindResultUnknown if the configuration may have been applied.
func (m *Manager) Publish(ctx context.Context, expect int64, file string, data []byte) (api.ConfigVersion, error) {
	pending := &proposal{manager: m, state: m.chart.Initial, version: expect + 1}
	if _, err := m.Check(file, data); err != nil {
		pending.apply(eventInvalid)
		return api.ConfigVersion{}, err
	}
	pending.apply(eventValid)
	row, head, err := m.head(ctx)
	if err != nil {
		return api.ConfigVersion{}, err
	}
	if head.Version != expect {
		return api.ConfigVersion{}, conflictWith(head.Version)
	}
	next := versionRecord{Version: expect + 1, Digest: digestOf(data), AppliedAt: time.Now().UTC()}
	next.Object = fmt.Sprintf("config-%012d-%s.gz", next.Version, next.Digest)
	if err := m.options.Objects.Put(ctx, next.Object, Pack(data)); err != nil {
		pending.apply(eventLose)
		return api.ConfigVersion{}, api.NewError(api.KindStoreUnavailable, "the document was not stored: %w", err)
	}
	pending.apply(eventStored)
	if err := m.moveHead(ctx, pending, row, next); err != nil {
		return api.ConfigVersion{}, err
	}
	if _, err := m.Offer(next.Version, next.Digest, data); err != nil {
		m.options.Logger.Error("configuration in force", zap.Error(err))
	}
	return next.toAPI(nil), nil
}

// moveHead makes next the head and adds it to the history if the head row has not changed
// since it was read.
func (m *Manager) moveHead(ctx context.Context, pending *proposal, headRead api.Row, next versionRecord) error {
	value, err := json.Marshal(next)
	if err != nil {
		return api.NewError(api.KindInternal, "configuration head: %w", err)
	}
	result := m.options.Tables.Commit(ctx, platform.PurposeConfig, api.Tx{
		WriteID: platform.NewWriteID(),
		Ops: []api.Op{
			{Ref: headRead.Ref, IfVersion: headRead.Version, Value: value},
			{Ref: historyRef(next.Version), Value: value},
		},
	})
	switch {
	case result.State == platform.CommitDone:
		pending.apply(eventHeadMoved)
		return nil
	case result.State == platform.CommitUnknown:
		pending.apply(eventLose)
		return platform.ErrorOf(result)
	case result.Err != nil:
		pending.apply(eventHeadLost)
		return platform.ErrorOf(result)
	default:
		pending.apply(eventHeadLost)
		return conflictWith(headVersionIn(result.Conflicts, next.Version))
	}
}

// headVersionIn returns the version of the head row among the conflicting rows, or
// fallback.
func headVersionIn(conflicts []api.Row, fallback int64) int64 {
	for _, row := range conflicts {
		var head versionRecord
		if row.Table == tableHead && json.Unmarshal(row.Value, &head) == nil {
			return head.Version
		}
	}
	return fallback
}

func conflictWith(number int64) error {
	return api.NewError(api.KindConfigConflict, "%w", &ConflictError{Version: number})
}

// ConflictingVersion returns the version in force that an error of KindConfigConflict
// carries.
func ConflictingVersion(err error) int64 {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Version
	}
	return 0
}

// Problems returns the problems that an error of KindConfigInvalid carries.
func Problems(err error) []api.Problem {
	var invalid *strictjson.Error
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

func historyRef(number int64) api.Ref {
	return api.Ref{Table: tableHistory, Key: fmt.Sprintf("%012d", number)}
}

// head reads the head row; version 0 means that there is no configuration yet.
func (m *Manager) head(ctx context.Context) (api.Row, versionRecord, error) {
	var head versionRecord
	rows, err := m.options.Tables.Read(ctx, platform.PurposeConfig, api.Ref{Table: tableHead, Key: headKey})
	if err != nil {
		return api.Row{}, head, err
	}
	row := rows.Rows[0]
	if row.Version == 0 {
		return row, head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return row, head, api.NewError(api.KindInternal, "configuration head: %w", err)
	}
	return row, head, nil
}

// History returns the accepted versions without their documents, oldest first.
func (m *Manager) History(ctx context.Context) ([]api.ConfigVersion, error) {
	var versions []api.ConfigVersion
	query := api.ScanQuery{Table: tableHistory, Limit: historyPageSize}
	for {
		page, err := m.options.Tables.Scan(ctx, platform.PurposeConfig, query)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			var entry versionRecord
			if err := json.Unmarshal(row.Value, &entry); err != nil {
				return nil, api.NewError(api.KindInternal, "history row %s: %w", row.Key, err)
			}
			versions = append(versions, entry.toAPI(nil))
			query.After = row.Key
		}
		if !page.More || len(page.Rows) == 0 {
			return versions, nil
		}
	}
}

// Get returns an accepted version with its document, or KindNotFound. Number zero
// stands for the version in force on this instance.
func (m *Manager) Get(ctx context.Context, number int64) (api.ConfigVersion, error) {
	if current := m.current.Load(); current != nil && (number == 0 || number == current.snapshot.Version) {
		snapshot := current.snapshot
		return api.ConfigVersion{Version: snapshot.Version, Digest: snapshot.Digest, Document: current.document}, nil
	}
	rows, err := m.options.Tables.Read(ctx, platform.PurposeConfig, historyRef(number))
	if err != nil {
		return api.ConfigVersion{}, err
	}
	if rows.Rows[0].Version == 0 {
		return api.ConfigVersion{}, api.NewError(api.KindNotFound, "no configuration version %d", number)
	}
	var entry versionRecord
	if err := json.Unmarshal(rows.Rows[0].Value, &entry); err != nil {
		return api.ConfigVersion{}, api.NewError(api.KindInternal, "history row of %d: %w", number, err)
	}
	data, err := m.readDocument(ctx, entry)
	if err != nil {
		return api.ConfigVersion{}, err
	}
	return entry.toAPI(data), nil
}
