package record

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/ring"

	"github.com/rs/zerolog"
)

// writeQueueCapacity is the maximum number of records that wait to be written to the structured log.
const writeQueueCapacity = 1024

// Log holds the newest records of a host in memory and writes every record to the structured log in the background.
// It is safe for concurrent use.
type Log struct {
	config   LogConfig
	recent   *ring.RecentBuffer[Record]
	pending  *ring.Queue[Record]
	mu       sync.Mutex
	sequence uint64
}

// LogConfig configures a Log; Capacity is the number of records that it holds.
type LogConfig struct {
	Host        string
	Incarnation uint64
	Capacity    int
	Logger      zerolog.Logger
}

// NewLog returns an empty log and a function that stops its background writer once the pending records are written.
func NewLog(c LogConfig) (*Log, func()) {
	l := &Log{
		config:  c,
		recent:  ring.NewRecentBuffer[Record](ring.Config{Capacity: c.Capacity}),
		pending: ring.NewQueue[Record](ring.Config{Capacity: writeQueueCapacity}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go l.writeLoop(ctx, done)
	return l, func() {
		cancel()
		<-done
	}
}

// Add sets the time, host, incarnation and sequence of a record and stores it.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	l.sequence++
	r.Time, r.Host, r.Incarnation, r.Sequence = time.Now().UTC(), l.config.Host, l.config.Incarnation, l.sequence
	l.recent.Add(r)
	l.mu.Unlock()
	l.pending.Push(r)
}

// Since returns the records from the time since on that are about a target, oldest first. Records without a target are
// about all of them, and an empty target selects all records.
func (l *Log) Since(target string, since time.Time) []Record {
	var records []Record
	for _, r := range l.recent.Items() {
		if !r.Time.Before(since) && (target == "" || r.Target == "" || r.Target == target) {
			records = append(records, r)
		}
	}
	return records
}

// Unwritten returns the number of records that were not written to the structured log because too many were pending.
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

// writeRecord writes one record to the structured log; the keys are the same for all kinds of records. Operators match the
// message in their tools, so it does not change.
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
