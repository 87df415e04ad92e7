package admission

// The heaps that contain an entry, as indices into entry.positions.
const (
	accountHeap = iota
	expiryHeap
)

// entryHeap is a heap of entries that records in each entry its position. It
// implements heap.Interface.
type entryHeap struct {
	items []*entry
	id    int
	less  func(a, b *entry) bool
}

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].positions[h.id] = i
	h.items[j].positions[h.id] = j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	item := x.(*entry)
	item.positions[h.id] = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return item
}
