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

// Log holds a host's newest records in a bounded ring and writes each to the structured log.
type Log struct {
	config   LogConfig
	recent   *ring.Recent[Record]
	write    *ring.Ring[Record]
	mu       sync.Mutex
	sequence uint64
}

// LogConfig sets up a Book; Capacity is the number of records kept.
type LogConfig struct {
	Host        string
	Incarnation uint64
	Capacity    int
	Logger      zerolog.Logger
}

// NewLog returns an empty book and the function that stops its writer after what it holds is written.
func NewLog(c LogConfig) (*Log, func()) {
	b := &Log{
		config: c,
		recent: ring.NewRecent[Record](ring.Config{Capacity: c.Capacity}),
		write:  ring.New[Record](ring.Config{Capacity: writeBacklog}),
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
func (b *Log) Add(r Record) {
	b.mu.Lock()
	b.sequence++
	r.Time, r.Host, r.Incarnation, r.Sequence = time.Now().UTC(), b.config.Host, b.config.Incarnation, b.sequence
	b.recent.Add(r)
	b.mu.Unlock()
	b.write.Push(r)
}

// Since returns the records not older than since that concern a target, oldest first.
// An empty target selects all; records without a target concern every target.
func (b *Log) Since(target string, since time.Time) []Record {
	var records []Record
	for _, r := range b.recent.Items() {
		if !r.Time.Before(since) && (target == "" || r.Target == "" || r.Target == target) {
			records = append(records, r)
		}
	}
	return records
}

// Unwritten returns how many records were kept but not logged, because the log could not keep up.
func (b *Log) Unwritten() int64 { return b.write.Dropped() }

func (b *Log) writeAll(ctx context.Context, done chan<- struct{}) {
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

func (b *Log) drain() {
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
func (b *Log) log(r Record) {
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
