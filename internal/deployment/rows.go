package deployment

import (
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// This file puts rows of the store into messages between instances. A configuration of
// thousands of queues is hundreds of kilobytes; a hub with a small link that passes it on
// to its leaves has no room left for its own feed. So large values are compressed.

// packFrom is the size in bytes from which a value is compressed.
const packFrom = 4 << 10

func packRows(rows []workload.Row) []*peerpb.StoreRow {
	list := make([]*peerpb.StoreRow, len(rows))
	for i, row := range rows {
		value, packed := packValue(row.Value)
		list[i] = &peerpb.StoreRow{Key: row.Key, Value: value, Version: row.Version, Deleted: row.Deleted, Packed: packed}
	}
	return list
}

// unpackRows returns the rows of a message; those whose values cannot be unpacked are left
// out, and come again by another way.
func unpackRows(rows []*peerpb.StoreRow) []workload.Row {
	list := make([]workload.Row, 0, len(rows))
	for _, row := range rows {
		value, err := unpackValue(row)
		if err != nil {
			continue
		}
		list = append(list, workload.Row{Key: row.GetKey(), Value: value, Version: row.GetVersion(), Deleted: row.GetDeleted()})
	}
	return list
}

// packValue compresses a large value; false if it stays as it is.
func packValue(value []byte) ([]byte, bool) {
	if len(value) < packFrom {
		return value, false
	}
	packed := config.Pack(value)
	if len(packed) >= len(value) {
		return value, false
	}
	return packed, true
}

func unpackValue(row *peerpb.StoreRow) ([]byte, error) {
	if !row.GetPacked() {
		return row.GetValue(), nil
	}
	return config.Unpack(row.GetValue())
}
