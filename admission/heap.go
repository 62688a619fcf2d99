package admission

// indexedHeap is a binary heap whose items store their own index, so that any item
// can be removed in logarithmic time without a search.
type indexedHeap[T any] struct {
	items []T
	// less orders the items, and index returns where an item stores its index.
	less  func(a, b T) bool
	index func(item T) *int
}

func (h *indexedHeap[T]) len() int {
	return len(h.items)
}

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.index(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(item T) {
	i, last := *h.index(item), len(h.items)-1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > start
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}
