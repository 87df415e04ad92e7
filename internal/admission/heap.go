package admission

// The heaps that an entry is in, as indices of entry.position.
const (
	slotAccount = iota
	slotExpiry
)

// entryHeap is a heap of entries that know their own position. It implements
// heap.Interface.
type entryHeap struct {
	items []*entry
	slot  int
	less  func(a, b *entry) bool
}

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.slot] = i
	h.items[j].position[h.slot] = j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	item := x.(*entry)
	item.position[h.slot] = len(h.items)
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
