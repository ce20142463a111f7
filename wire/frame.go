// Package wire exchanges typed messages between the processes of the system.
//
// A frame is a length of four bytes, big endian, followed by the kind, call id, reply flag
// and body, each encoded with msgpack. Bodies are structs encoded as arrays, to which later
// versions may only append fields. A Peer makes and answers calls over one connection. A
// request is streamed over a Conn of its own, so that TCP flow control bounds the data in
// flight.
//
// # Usage
//
//	p := wire.NewPeer(conn, handler)
//	go p.Run(ctx)
//	r, err := p.Call(ctx, &wire.Heartbeat{InFlight: 1})
package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
)

// Limits of a connection.
const (
	MaxFrame     = 4 << 20
	writeTimeout = 10 * time.Second
	headerBytes  = 4
	// firstFrameBytes is how much of a frame is allocated before any of it has arrived. The
	// buffer doubles as the frame arrives, so that a length alone costs no memory.
	firstFrameBytes = 4 << 10
	// valueBytes is what a value takes at most once it is decoded, without the bytes of its
	// text: an empty string is one byte in a frame and 16 in memory.
	valueBytes = 16
)

// Quota bounds the frames that are in progress on connections of other processes.
type Quota interface {
	// Reserve reserves n bytes, and reports whether they were free.
	Reserve(n int) bool
	Release(n int)
	// StallTime is how long a frame that has begun may make no progress.
	StallTime() time.Duration
}

// Network opens and accepts connections.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(c context.Context, addr string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(addr string) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp", addr)
}

// Dial implements Network.
func (TCP) Dial(c context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(c, "tcp", addr)
}

// Frame is one message on a connection. ID identifies the call that a request or a reply
// belongs to; it is 0 for a message that expects no reply.
type Frame struct {
	ID      uint64
	Reply   bool
	Message Message
	// reserved is what the frame holds of the connection's quota.
	reserved int
}

// FrameError says that a frame is malformed, too large, or of an unexpected kind.
type FrameError struct {
	Kind   Kind
	Detail string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of kind %d: %s", e.Kind, e.Detail)
}

// Conn reads and writes frames. One goroutine may read while any number of others write.
type Conn struct {
	net net.Conn
	r   *bufio.Reader
	// writeLock is a semaphore of size 1.
	writeLock chan struct{}
	bytesIn   atomic.Uint64
	bytesOut  atomic.Uint64
	// quota is nil if frames are bounded only by MaxFrame.
	quota Quota
}

// NewConn wraps a connection.
func NewConn(n net.Conn) *Conn {
	return &Conn{
		net:       n,
		r:         bufio.NewReader(n),
		writeLock: make(chan struct{}, 1),
	}
}

// SetQuota bounds the frames that are received. It must be called before the first Read.
func (c *Conn) SetQuota(q Quota) { c.quota = q }

// Close closes the connection.
func (c *Conn) Close() error { return c.net.Close() }

// Remote returns the other side's address.
func (c *Conn) Remote() string { return c.net.RemoteAddr().String() }

// Bytes returns the number of bytes read and written so far.
func (c *Conn) Bytes() (in, out uint64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// SetReadDeadline sets the deadline of all further reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.net.SetReadDeadline(t) }

// Write sends one frame in a single write.
func (c *Conn) Write(f Frame) error {
	b, err := encode(f)
	if err != nil {
		return err
	}
	c.writeLock <- struct{}{}
	defer func() { <-c.writeLock }()
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := c.net.Write(b)
	c.bytesOut.Add(uint64(max(n, 0)))
	return err
}

// Send writes a one-way message, to which there is no reply.
func (c *Conn) Send(m Message) error {
	return c.Write(Frame{
		Message: m,
	})
}

// Read receives one frame.
func (c *Conn) Read() (Frame, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(c.r, h[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > MaxFrame {
		return Frame{}, &FrameError{
			Detail: fmt.Sprintf("frame of %d bytes exceeds the limit of %d", n, MaxFrame),
		}
	}
	b, reserved, err := c.readBody(int(n))
	if err != nil {
		c.release(reserved)
		return Frame{}, err
	}
	c.bytesIn.Add(uint64(n) + headerBytes)
	f, more, err := c.decodeWithin(b)
	if err != nil {
		c.release(reserved + more)
		return f, err
	}
	f.reserved = reserved + more
	return f, nil
}

// decodeWithin decodes the body of a frame, and returns what it has reserved of the quota for
// the decoded values of a large one.
func (c *Conn) decodeWithin(b []byte) (f Frame, reserved int, err error) {
	if c.quota == nil || len(b) <= firstFrameBytes {
		f, err = decode(b)
		return f, 0, err
	}
	n, err := codec.Count(b)
	if err != nil {
		return f, 0, &FrameError{
			Detail: err.Error(),
		}
	}
	if n *= valueBytes; !c.quota.Reserve(n) {
		return f, 0, &FrameError{
			Detail: fmt.Sprintf("no memory for the values of a frame of %d bytes", len(b)),
		}
	}
	f, err = decode(b)
	return f, n, err
}

// readBody reads the n bytes of a frame's body, and returns what it has reserved of the quota.
func (c *Conn) readBody(n int) (b []byte, reserved int, err error) {
	for {
		size := min(n, max(firstFrameBytes, 2*len(b)))
		if c.quota != nil {
			if !c.quota.Reserve(size - reserved) {
				return nil, reserved, &FrameError{
					Detail: fmt.Sprintf("no memory for a frame of %d bytes", n),
				}
			}
			reserved = size
		}
		v := make([]byte, size)
		if err := c.readFull(v, copy(v, b)); err != nil {
			return nil, reserved, err
		}
		if size == n {
			return v, reserved, nil
		}
		b = v
	}
}

// readFull reads b from an index on. A frame of which only a part has arrived must make progress
// if there is a quota.
func (c *Conn) readFull(b []byte, from int) error {
	if c.quota == nil || c.r.Buffered() >= len(b)-from {
		_, err := io.ReadFull(c.r, b[from:])
		return err
	}
	for from < len(b) {
		if err := c.net.SetReadDeadline(time.Now().Add(c.quota.StallTime())); err != nil {
			return err
		}
		n, err := c.r.Read(b[from:])
		from += n
		if err != nil {
			return err
		}
	}
	return c.net.SetReadDeadline(time.Time{})
}

// release returns what a frame has reserved of the quota.
func (c *Conn) release(n int) {
	if c.quota != nil && n > 0 {
		c.quota.Release(n)
	}
}

func encode(f Frame) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, headerBytes))
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	for _, v := range []any{uint64(f.Message.Kind()), f.ID, f.Reply, f.Message} {
		if err := e.Encode(v); err != nil {
			return nil, fmt.Errorf("encode kind %d: %w", f.Message.Kind(), err)
		}
	}
	if b.Len() > MaxFrame {
		return nil, &FrameError{
			Kind:   f.Message.Kind(),
			Detail: fmt.Sprintf("frame of %d bytes exceeds the limit of %d", b.Len(), MaxFrame),
		}
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-headerBytes)) //nolint:gosec // bounded by MaxFrame
	return b.Bytes(), nil
}

func decode(b []byte) (Frame, error) {
	var f Frame
	if err := codec.Check(b); err != nil {
		return f, &FrameError{
			Detail: err.Error(),
		}
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	k, err := d.DecodeUint64()
	if err != nil {
		return f, &FrameError{
			Detail: err.Error(),
		}
	}
	if f.ID, err = d.DecodeUint64(); err != nil {
		return f, decodeError(k, err)
	}
	if f.Reply, err = d.DecodeBool(); err != nil {
		return f, decodeError(k, err)
	}
	if k >= uint64(len(constructors)) || constructors[k] == nil {
		f.Message = &Unknown{
			ReceivedKind: Kind(min(k, maxKind)), //nolint:gosec // bounded
		}
		return f, nil
	}
	f.Message = constructors[k]()
	if err := d.Decode(f.Message); err != nil {
		return f, decodeError(k, err)
	}
	return f, nil
}

func decodeError(k uint64, err error) error {
	return &FrameError{
		Kind:   Kind(min(k, maxKind)), //nolint:gosec // bounded
		Detail: err.Error(),
	}
}

// KindOf returns the kind of an encoded frame and whether it is a reply, for tools that
// inspect traffic. ok is false if the frame's header can't be decoded.
func KindOf(b []byte) (k Kind, reply, ok bool) {
	if len(b) <= headerBytes {
		return 0, false, false
	}
	d := msgpack.NewDecoder(bytes.NewReader(b[headerBytes:]))
	n, err := d.DecodeUint64()
	if err != nil {
		return 0, false, false
	}
	if _, err := d.DecodeUint64(); err != nil {
		return 0, false, false
	}
	reply, err = d.DecodeBool()
	return Kind(min(n, maxKind)), reply, err == nil //nolint:gosec // bounded
}
