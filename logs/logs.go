// Package logs writes log lines without ever holding up the process that logs.
//
// A Writer queues lines and writes them in the background. It lets through a
// budget of lines a second, with a burst; what exceeds it, or finds the queue
// full, is dropped and counted, and a line says how many were.
//
// # Usage
//
//	w := logs.NewWriter(os.Stdout, logs.Budget{PerSecond: 200, Burst: 2000}, nil)
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

// queueLines bounds the lines that wait to be written.
const queueLines = 4096

// Budget bounds the lines that are let through.
type Budget struct {
	PerSecond float64
	Burst     float64
}

// Writer is an io.Writer of whole lines.
type Writer struct {
	out    io.Writer
	budget Budget
	told   func(int)
	queue  chan []byte
	done   chan struct{}

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	dropped int
	closed  bool
}

// NewWriter returns a writer to out; told, if set, hears how many lines were
// dropped.
func NewWriter(out io.Writer, b Budget, told func(int)) *Writer {
	w := &Writer{
		out:    out,
		budget: b,
		told:   told,
		queue:  make(chan []byte, queueLines),
		done:   make(chan struct{}),
		tokens: b.Burst,
		filled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.take() {
		w.dropped++
		return len(b), nil
	}
	if w.dropped > 0 {
		w.tell()
	}
	select {
	case w.queue <- bytes.Clone(b):
	default:
		w.dropped++
	}
	return len(b), nil
}

// take spends a token of the budget; w.mu is held.
func (w *Writer) take() bool {
	now := time.Now()
	w.tokens = min(w.tokens+w.budget.PerSecond*now.Sub(w.filled).Seconds(), w.budget.Burst)
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// tell queues a line on what was dropped; w.mu is held.
func (w *Writer) tell() {
	line := fmt.Appendf(nil, "time=%q level=warning event=log_lines_dropped lines=%d\n", w.filled.UTC().Format(time.RFC3339Nano), w.dropped)
	select {
	case w.queue <- line:
		if w.told != nil {
			w.told(w.dropped)
		}
		w.dropped = 0
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.queue {
		// There is nowhere to report a log that cannot be written.
		_, _ = w.out.Write(b)
	}
}

// Close writes what is queued and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.tell()
	}
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
}
