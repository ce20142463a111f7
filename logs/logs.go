// Package logs writes log lines without blocking the goroutine that logs.
//
// A Writer queues lines and writes them in the background. A token bucket limits
// the rate of lines and their bursts. Lines beyond that rate, and lines that find
// the queue full, are dropped and counted, and a log line reports how many were
// dropped.
//
// # Usage
//
//	w := logs.NewWriter(os.Stdout, logs.RateLimit{PerSecond: 200, Burst: 2000}, nil)
//	defer w.Close()
//	logger.SetOutput(w)
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines bounds the number of lines waiting to be written.
const maxQueuedLines = 4096

// RateLimit is the rate limit of a Writer: lines per second, and how many may come
// at once.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// Writer is a rate-limited asynchronous io.Writer. Each call of Write must pass
// one whole line.
type Writer struct {
	out       io.Writer
	limit     RateLimit
	onDropped func(int)
	queue     chan []byte
	done      chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

// NewWriter returns a Writer to out. If onDropped is not nil, it is called with
// the number of dropped lines each time they are reported. It is called with the
// writer's lock held and must not log.
func NewWriter(out io.Writer, b RateLimit, onDropped func(int)) *Writer {
	w := &Writer{
		out:        out,
		limit:      b,
		onDropped:  onDropped,
		queue:      make(chan []byte, maxQueuedLines),
		done:       make(chan struct{}),
		tokens:     b.Burst,
		refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.takeToken() {
		w.dropped++
		return len(b), nil
	}
	if w.dropped > 0 {
		w.reportDropped()
	}
	select {
	case w.queue <- bytes.Clone(b):
	default:
		w.dropped++
	}
	return len(b), nil
}

// takeToken refills the bucket and takes a token from it, if there is one. w.mu
// must be held.
func (w *Writer) takeToken() bool {
	now := time.Now()
	w.tokens = min(w.tokens+w.limit.PerSecond*now.Sub(w.refilledAt).Seconds(), w.limit.Burst)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// reportDropped queues a line that reports the dropped lines, and resets their
// count. If the queue is full, they are reported later. w.mu must be held.
func (w *Writer) reportDropped() {
	line := fmt.Appendf(nil, "time=%q level=warning event=log_lines_dropped lines=%d\n", w.refilledAt.UTC().Format(time.RFC3339Nano), w.dropped)
	select {
	case w.queue <- line:
		if w.onDropped != nil {
			w.onDropped(w.dropped)
		}
		w.dropped = 0
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.queue {
		// An error is ignored: a log that cannot be written can only be
		// reported in the log.
		_, _ = w.out.Write(b)
	}
}

// Close writes the queued lines and stops the writer. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.reportDropped()
	}
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
}
