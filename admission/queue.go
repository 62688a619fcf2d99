package admission

// queueKey orders queued tickets: by class, then by start tag, then by the request's
// hash.
type queueKey struct {
	class int
	tag   float64
	hash  uint32
}

func (k queueKey) before(other queueKey) bool {
	if k.class != other.class {
		return k.class < other.class
	}
	if k.tag != other.tag {
		return k.tag < other.tag
	}
	return k.hash < other.hash
}

// queue holds tickets ordered by key, accessible from both ends, and by age.
type queue struct {
	minHeap        indexedHeap[*Ticket]
	maxHeap        indexedHeap[*Ticket]
	oldest, newest *Ticket
}

func newQueue() queue {
	return queue{
		minHeap: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return a.key.before(b.key) },
			index: func(t *Ticket) *int { return &t.minIndex },
		},
		maxHeap: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return b.key.before(a.key) },
			index: func(t *Ticket) *int { return &t.maxIndex },
		},
	}
}

func (q *queue) len() int {
	return q.minHeap.len()
}

// next returns the ticket to start first, or nil if the queue is empty.
func (q *queue) next() *Ticket {
	if q.len() == 0 {
		return nil
	}
	return q.minHeap.items[0]
}

// victim returns the ticket to shed first, or nil if the queue is empty.
func (q *queue) victim() *Ticket {
	if q.len() == 0 {
		return nil
	}
	return q.maxHeap.items[0]
}

func (q *queue) add(t *Ticket) {
	q.minHeap.push(t)
	q.maxHeap.push(t)
	t.older, t.newer = q.newest, nil
	if q.newest != nil {
		q.newest.newer = t
	} else {
		q.oldest = t
	}
	q.newest = t
}

func (q *queue) remove(t *Ticket) {
	q.minHeap.remove(t)
	q.maxHeap.remove(t)
	if t.older != nil {
		t.older.newer = t.newer
	} else {
		q.oldest = t.newer
	}
	if t.newer != nil {
		t.newer.older = t.older
	} else {
		q.newest = t.older
	}
	t.older, t.newer = nil, nil
}
