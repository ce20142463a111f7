package entry

import (
	"io"
)

// replayableBody reads a request body and buffers up to maxReplayBytes of it, so
// that a body of at most that size can be sent again.
type replayableBody struct {
	src      io.Reader
	buffered []byte
	pos      int
	// overflowed means that the body is larger than the buffer.
	overflowed bool
}

func newReplayableBody(r io.Reader) *replayableBody {
	return &replayableBody{
		src: r,
	}
}

// Read implements io.Reader.
func (t *replayableBody) Read(b []byte) (int, error) {
	if t.pos < len(t.buffered) {
		n := copy(b, t.buffered[t.pos:])
		t.pos += n
		return n, nil
	}
	n, err := t.src.Read(b)
	if t.overflowed || len(t.buffered)+n > maxReplayBytes {
		t.overflowed = true
		return n, err
	}
	t.buffered = append(t.buffered, b[:n]...)
	t.pos = len(t.buffered)
	return n, err
}

// rewind makes the next Read start at the beginning of the body again. It returns
// false if the body has outgrown the buffer and cannot be replayed.
func (t *replayableBody) rewind() bool {
	t.pos = 0
	return !t.overflowed
}
