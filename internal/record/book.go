package record

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/ring"

	"github.com/rs/zerolog"
)

// writeBacklog is how many records may wait for the log's writer.
const writeBacklog = 1024

// Book holds a host's newest records in a bounded ring and writes each to the structured log.
type Book struct {
	config   Config
	recent   *ring.Recent[Record]
	write    *ring.Queue[Record]
	mu       sync.Mutex
	sequence uint64
}

// Config sets up a Book; Capacity is the number of records kept.
type Config struct {
	Host        string
	Incarnation uint64
	Capacity    int
	Logger      zerolog.Logger
}

// New returns an empty book and the function that stops its writer after what it holds is written.
func New(c Config) (*Book, func()) {
	b := &Book{
		config: c,
		recent: ring.NewRecent[Record](ring.Config{Capacity: c.Capacity}),
		write:  ring.NewQueue[Record](ring.Config{Capacity: writeBacklog}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go b.writeAll(ctx, done)
	return b, func() {
		cancel()
		<-done
	}
}

// Add stamps and stores a record.
func (b *Book) Add(r Record) {
	b.mu.Lock()
	b.sequence++
	r.Time, r.Host, r.Incarnation, r.Sequence = time.Now().UTC(), b.config.Host, b.config.Incarnation, b.sequence
	b.recent.Add(r)
	b.mu.Unlock()
	b.write.Push(r)
}

// Since returns the records not older than since that concern a target, oldest first.
// An empty target selects all; records without a target concern every target.
func (b *Book) Since(target string, since time.Time) []Record {
	var records []Record
	for _, r := range b.recent.Items() {
		if !r.Time.Before(since) && (target == "" || r.Target == "" || r.Target == target) {
			records = append(records, r)
		}
	}
	return records
}

// Unwritten returns how many records were kept but not logged, because the log could not keep up.
func (b *Book) Unwritten() int64 { return b.write.Dropped() }

func (b *Book) writeAll(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		r, ok := b.write.Pop(ctx)
		if !ok {
			b.drain()
			return
		}
		b.log(r)
	}
}

func (b *Book) drain() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range writeBacklog {
		r, ok := b.write.Pop(ended)
		if !ok {
			return
		}
		b.log(r)
	}
}

// log writes one record in the event schema that every event shares.
func (b *Book) log(r Record) {
	b.config.Logger.Info().
		Time("At", r.Time).
		Uint64("Sequence", r.Sequence).
		Str("Kind", string(r.Kind)).
		Str("Service", r.Service).
		Str("Target", r.Target).
		Str("From", r.From).
		Str("To", r.To).
		Str("Cause", r.Cause).
		Int("Note", r.Note).
		Interface("Evidence", r.Evidence).
		Msg("steering changed")
}
