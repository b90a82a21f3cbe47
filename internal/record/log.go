package record

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/ring"

	"github.com/rs/zerolog"
)

// writeQueueCapacity is how many records may wait for the log's writer.
const writeQueueCapacity = 1024

// Log holds a host's newest records in a bounded ring and writes each to the structured log.
type Log struct {
	config   LogConfig
	recent   *ring.Recent[Record]
	pending  *ring.Ring[Record]
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
	l := &Log{
		config:  c,
		recent:  ring.NewRecent[Record](ring.Config{Capacity: c.Capacity}),
		pending: ring.New[Record](ring.Config{Capacity: writeQueueCapacity}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go l.writeLoop(ctx, done)
	return l, func() {
		cancel()
		<-done
	}
}

// Add stamps and stores a record.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	l.sequence++
	r.Time, r.Host, r.Incarnation, r.Sequence = time.Now().UTC(), l.config.Host, l.config.Incarnation, l.sequence
	l.recent.Add(r)
	l.mu.Unlock()
	l.pending.Push(r)
}

// Since returns the records not older than since that concern a target, oldest first.
// An empty target selects all; records without a target concern every target.
func (l *Log) Since(target string, since time.Time) []Record {
	var records []Record
	for _, r := range l.recent.Items() {
		if !r.Time.Before(since) && (target == "" || r.Target == "" || r.Target == target) {
			records = append(records, r)
		}
	}
	return records
}

// Unwritten returns how many records were kept but not logged, because the log could not keep up.
func (l *Log) Unwritten() int64 { return l.pending.Dropped() }

func (l *Log) writeLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		r, ok := l.pending.Pop(ctx)
		if !ok {
			l.drain()
			return
		}
		l.writeRecord(r)
	}
}

func (l *Log) drain() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for range writeQueueCapacity {
		r, ok := l.pending.Pop(canceled)
		if !ok {
			return
		}
		l.writeRecord(r)
	}
}

// writeRecord writes one record in the event schema that every event shares.
func (l *Log) writeRecord(r Record) {
	l.config.Logger.Info().
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
