package directory

import "time"

// Word returns when the platform was last read by anyone that this node hears
// of, by the own clock; zero where it is not known. A node that is cut off with
// its zone sees it grow old.
func (d *Directory) Word() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shelf.word
}

// hearWord takes in a relay's word of how long ago the platform was read.
func (d *Directory) hearWord(ageMicros int64) {
	if ageMicros <= 0 {
		return
	}
	word := time.Now().Add(-time.Duration(ageMicros) * time.Microsecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shelf.hear(word)
}

// wordAge returns how long ago the platform was read, in microseconds; zero
// where it is not known. d.mu is held.
func (d *Directory) wordAge() int64 {
	if d.shelf.word.IsZero() {
		return 0
	}
	return max(1, time.Since(d.shelf.word).Microseconds())
}
