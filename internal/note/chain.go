package note

import "sync"

// recentRecords is how many of the newest records a chain keeps for its peers.
const recentRecords = 64

// Chain holds the note in force on one host; its number never falls.
type Chain struct {
	mu            sync.Mutex
	head          Record
	headHash      string
	configuration Configuration
	recent        []Record
}

// Head returns the newest record, its hash and the configuration in force; the number is 0 before the first note.
func (c *Chain) Head() (Record, string, Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head, c.headHash, c.configuration
}

// Number returns the number of the note in force; 0 before the first.
func (c *Chain) Number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Number
}

// Apply puts the next record in force.
// It reports false without error for a record that is not newer, and ErrChain for one that does not follow the head.
func (c *Chain) Apply(r Record) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number <= c.head.Number {
		return false, nil
	}
	if r.Number != c.head.Number+1 || r.Previous != c.headHash {
		return false, ErrChain.New("note %d does not follow note %d; fetch what lies between", r.Number, c.head.Number)
	}
	next, err := c.configuration.Apply(r.Note)
	if err != nil {
		return false, ErrChain.New("note %d does not fold onto note %d: %v", r.Number, c.head.Number, err)
	}
	if next.Hash() != r.Configuration {
		return false, ErrChain.New("note %d names another configuration than it leads to; check the store for tampering", r.Number)
	}
	c.setHead(r, next)
	c.recent = append(c.recent, r)
	if len(c.recent) > recentRecords {
		c.recent = append([]Record(nil), c.recent[len(c.recent)-recentRecords:]...)
	}
	return true, nil
}

// ApplySnapshot puts a snapshot in force if it is newer than the head; errors are ErrChain.
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

// Since returns what a host at the given number needs: the records that follow it, or a snapshot when they are no longer kept.
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
