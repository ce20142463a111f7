package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	// firstBytes is how much of a body is claimed before it is read. The claim doubles as the
	// body arrives, up to its length.
	firstBytes = 4 << 10
	// maxFirstBytes is how much is claimed before a body of known length is read, so that
	// ordinary bodies are claimed once.
	maxFirstBytes = 32 << 10
	// lingerTime is how long the rest of a body is still read after the request was answered,
	// so that the answer arrives before the connection is reset; net/http waits as long.
	lingerTime = 500 * time.Millisecond
	// refreshShare is the part of the stall time after which the deadline is set anew.
	refreshShare = 8
)

type connKey struct{}

// withConn is the ConnContext of a server.
func withConn(c context.Context, n net.Conn) context.Context {
	return context.WithValue(c, connKey{}, n)
}

// Handler returns a handler that bounds the bodies of the requests to h. Reading a body fails
// with a *RefusedError if its memory is not available or if it makes no progress; h must answer
// that with Refuse or a response that says as much.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok || r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		now := time.Now()
		b := &Body{
			guard:       g,
			conn:        n,
			body:        r.Body,
			known:       r.ContentLength,
			claim:       g.bodies.claim(n.Conn),
			refreshedAt: now,
		}
		_ = n.Conn.SetReadDeadline(now.Add(g.settings.StallTime))
		defer b.end()
		r.Body = b
		h.ServeHTTP(w, r)
	})
}

// Attribute assigns the body of a request to a customer, so that memory is shared fairly among
// customers. It does nothing for a request without a body.
func Attribute(r *http.Request, customer string) {
	if b, ok := r.Body.(*Body); ok {
		b.claim.attribute(customer)
	}
}

// SetHeaders sets the headers of a refusal: when to come back, and that the connection ends.
func SetHeaders(h http.Header) {
	h.Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	h.Set("Connection", "close")
}

// Body is the body of a request, whose memory is claimed before it is read.
type Body struct {
	guard *Guard
	conn  *Conn
	body  io.ReadCloser
	// known is the length that the head gives, or -1.
	known       int64
	read        int64
	claimed     int64
	claim       *claim
	refreshedAt time.Time
	settled     bool
	refused     *RefusedError
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.refused != nil:
		return 0, b.refused
	case b.settled:
		return b.body.Read(p)
	}
	if b.read == b.claimed && !b.grow() {
		return 0, b.refuse(causeBytes)
	}
	if b.read == 0 {
		b.conn.setState(uploading)
		now := time.Now()
		if !b.claim.progress(now, now.Add(b.guard.settings.StallTime)) {
			return 0, b.refuse(causeDisplaced)
		}
	}
	n, err := b.body.Read(p[:min(int64(len(p)), max(b.claimed-b.read, 1))])
	b.read += int64(n)
	switch {
	case err == io.EOF:
		return n, b.settle()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.stalled()
	case err != nil:
		return n, err
	}
	now := time.Now()
	if now.Sub(b.refreshedAt) > min(b.guard.settings.StallTime/refreshShare, b.guard.settings.YieldTime/2) {
		b.refreshedAt = now
		if !b.claim.progress(now, now.Add(b.guard.settings.StallTime)) {
			return n, b.refuse(causeDisplaced)
		}
	}
	return n, nil
}

// grow claims the next bytes of the body.
func (b *Body) grow() bool {
	n := max(b.claimed, firstBytes)
	switch {
	case b.known > b.claimed && b.claimed == 0:
		n = min(b.known, maxFirstBytes)
	case b.known > b.claimed:
		n = min(n, b.known-b.claimed)
	}
	if !b.claim.grow(bodyCopies * n) {
		return false
	}
	b.claimed += n
	return true
}

// settle ends the receipt of the body and returns io.EOF, or an error if its claim was
// displaced at the last moment.
func (b *Body) settle() error {
	if !b.claim.settle() {
		return b.refuse(causeDisplaced)
	}
	b.settled = true
	b.conn.setState(busy)
	return io.EOF
}

func (b *Body) stalled() error {
	b.claim.budget.mu.Lock()
	d := b.claim.displaced
	b.claim.budget.mu.Unlock()
	if d {
		return b.refuse(causeDisplaced)
	}
	return b.refuse(causeStalled)
}

func (b *Body) refuse(cause string) error {
	b.refused = b.guard.refuse(cause)
	b.claim.release()
	return b.refused
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.body.Close() }

// end ends the claim, and bounds the time in which net/http reads what is left of the body.
func (b *Body) end() {
	b.claim.release()
	if !b.settled {
		b.conn.setState(busy)
		_ = b.conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}
