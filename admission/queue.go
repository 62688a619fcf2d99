package admission

// queueKey orders queued tickets: the class first, then the fair share's tag,
// then the request's hash.
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

// queue holds tickets by key from both ends and by age.
type queue struct {
	first          indexedHeap[*Ticket]
	last           indexedHeap[*Ticket]
	oldest, newest *Ticket
}

func newQueue() queue {
	return queue{
		first: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return a.key.before(b.key) },
			index: func(t *Ticket) *int { return &t.minIndex },
		},
		last: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return b.key.before(a.key) },
			index: func(t *Ticket) *int { return &t.maxIndex },
		},
	}
}

func (q *queue) len() int {
	return q.first.len()
}

// next returns the ticket to start first, or nil.
func (q *queue) next() *Ticket {
	if q.len() == 0 {
		return nil
	}
	return q.first.items[0]
}

// victim returns the ticket to shed first, or nil.
func (q *queue) victim() *Ticket {
	if q.len() == 0 {
		return nil
	}
	return q.last.items[0]
}

func (q *queue) add(t *Ticket) {
	q.first.push(t)
	q.last.push(t)
	t.older, t.newer = q.newest, nil
	if q.newest != nil {
		q.newest.newer = t
	} else {
		q.oldest = t
	}
	q.newest = t
}

func (q *queue) remove(t *Ticket) {
	q.first.remove(t)
	q.last.remove(t)
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
