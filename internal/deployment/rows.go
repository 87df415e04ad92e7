package deployment

import (
	"fmt"

	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file converts store rows for messages between instances. A configuration of
// thousands of queues is hundreds of kilobytes; a hub with a slow link that sends it to
// its leaves has no bandwidth left for its own feed. Large values in rows messages are
// therefore compressed. Store calls through a peer are not, since their values are
// written as they are.

// minCompressSize is the size in bytes from which a value is compressed.
const minCompressSize = 4 << 10

func rowsToProto(rows []workload.Row) []*peerpb.StoreRow {
	list := make([]*peerpb.StoreRow, len(rows))
	for i, row := range rows {
		list[i] = &peerpb.StoreRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
	}
	return list
}

func rowsFromProto(rows []*peerpb.StoreRow) []workload.Row {
	list := make([]workload.Row, len(rows))
	for i, row := range rows {
		list[i] = workload.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted()}
	}
	return list
}

// compressRows compresses large values in place.
func compressRows(rows []*peerpb.StoreRow) {
	for _, row := range rows {
		if len(row.GetValue()) < minCompressSize {
			continue
		}
		if compressed := config.Pack(row.GetValue()); len(compressed) < len(row.GetValue()) {
			row.Value, row.Packed = compressed, true
		}
	}
}

// expandRows reverses compressRows.
func expandRows(rows []*peerpb.StoreRow) error {
	for _, row := range rows {
		if !row.GetPacked() {
			continue
		}
		value, err := config.Unpack(row.GetValue())
		if err != nil {
			return fmt.Errorf("row %s: %w", row.GetKey(), err)
		}
		row.Value, row.Packed = value, false
	}
	return nil
}
