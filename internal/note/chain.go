package note

import "sync"

// recentRecords is how many of the newest records a chain keeps in memory, for peers that fetch them.
const recentRecords = 64

// Chain is one host's copy of the chain of published notes: the newest record, the configuration that it leads to and
// some records before it. The number of the newest record never decreases. It is safe for concurrent use.
type Chain struct {
	mu            sync.Mutex
	head          Record
	headHash      string
	configuration Configuration
	recent        []Record
}

// Head returns the newest record, its hash and the configuration that it leads to; the record's number is 0 before the
// first note.
func (c *Chain) Head() (Record, string, Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head, c.headHash, c.configuration
}

// Number returns the number of the newest note, or 0 before the first.
func (c *Chain) Number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Number
}

// Apply appends the next record and applies its note to the configuration; it reports whether the chain changed.
// A record that is not newer than the head changes nothing and is no error; one that does not follow the head is ErrChain.
func (c *Chain) Apply(r Record) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number <= c.head.Number {
		return false, nil
	}
	if r.Number != c.head.Number+1 || r.Previous != c.headHash {
		return false, ErrChain.New("note %d does not follow note %d; fetch the notes between them", r.Number, c.head.Number)
	}
	next, err := c.configuration.Apply(r.Note)
	if err != nil {
		return false, ErrChain.New("note %d cannot be applied to the configuration of note %d: %v", r.Number, c.head.Number, err)
	}
	if next.Hash() != r.Configuration {
		return false, ErrChain.New("note %d holds the hash of another configuration than it leads to; check the store for tampering", r.Number)
	}
	c.setHead(r, next)
	c.recent = append(c.recent, r)
	if len(c.recent) > recentRecords {
		c.recent = append([]Record(nil), c.recent[len(c.recent)-recentRecords:]...)
	}
	return true, nil
}

// ApplySnapshot replaces the chain's contents by a snapshot that is newer than the head and reports whether it did;
// errors are ErrChain.
func (c *Chain) ApplySnapshot(s Snapshot) (bool, error) {
	if err := s.Check(); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Record.Number <= c.head.Number {
		return false, nil
	}
	c.setHead(s.Record, s.Configuration)
	c.recent = []Record{s.Record}
	return true, nil
}

func (c *Chain) setHead(r Record, configuration Configuration) {
	c.head, c.headHash, c.configuration = r, r.Hash(), configuration
}

// Since returns what a host whose newest note has the given number needs to catch up: the records that follow, or a
// snapshot of the head if the chain does not keep all of them any more. Both are nil if the host is not behind.
func (c *Chain) Since(number int) (*Snapshot, []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number >= c.head.Number {
		return nil, nil
	}
	if len(c.recent) > 0 && c.recent[0].Number <= number+1 {
		return nil, append([]Record(nil), c.recent[number+1-c.recent[0].Number:]...)
	}
	return &Snapshot{c.head, c.configuration}, nil
}
