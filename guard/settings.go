package guard

import "time"

// Settings are the limits of a process. WithDefaults derives those that are 0.
type Settings struct {
	// Maximum numbers of accepted connections, by port.
	MaxCallers    int
	MaxHeartbeats int
	MaxPeers      int
	MaxProbes     int
	MaxOperators  int
	// MaxOutgoing is the maximum number of connections of each client of the store.
	MaxOutgoing int
	// BodyBytes is the budget for bodies and long heads of requests. A body counts
	// bodyCopies times.
	BodyBytes int64
	// FrameBytes is the budget for frames that other daemons send.
	FrameBytes int64
	// SocketBuffer is the size of the kernel's receive and send buffers of a connection.
	SocketBuffer int
	// MaxDumps is the maximum number of dumps and metrics that are sent concurrently.
	MaxDumps int
	// StallTime is how long a body, a frame or an answer may make no progress.
	StallTime time.Duration
	// YieldTime is after how long without a request or progress a connection or a body may give
	// way to a new one when there is no room.
	YieldTime time.Duration
	// Heads are the limits of heads where no configuration says otherwise.
	Heads Heads
}

// Limits that are assumed where the settings have none.
const (
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
)

// fileDescriptors is the part of a process's descriptors that is for files.
const fileDescriptors = 200

// Shares of the descriptors that are left for connections. Half is for callers or heartbeats,
// an eighth each for other daemons, for the probe and the metrics, and for the two clients of the
// store; the last eighth is for connections that the process opens to other daemons.
const (
	callerShare   = 2
	outgoingShare = 16
	peerShare     = 8
	smallShare    = 16
)

// Shares of the memory. Together with what the process needs by itself they leave a part free, so that
// the collector keeps up when all budgets are used.
const (
	bodyShare       = 4
	frameShare      = 16
	connectionShare = 4
	dumpMemory      = 16 << 20
)

// connectionBytes is the memory of a connection without its head and body: two buffers of
// 4 KB, a goroutine and its stack.
const connectionBytes = 24 << 10

const (
	maxSmallConns      = 128
	maxHeartbeatConns  = 512
	minFrameBytes      = 4 << 20
	minDumps           = 2
	defaultSocketBytes = 16 << 10
	defaultStallTime   = 10 * time.Second
	defaultYieldTime   = time.Second
)

// WithDefaults returns the settings with all zero fields derived from the memory and the
// descriptors of the process, which may be 0 if they are not known.
func (s Settings) WithDefaults(memory int64, descriptors int) Settings {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	n := max(descriptors-fileDescriptors, descriptors/callerShare, smallShare)
	byMemory := max(int(memory/connectionShare/connectionBytes), 1)
	setDefault(&s.MaxCallers, min(n/callerShare, byMemory))
	setDefault(&s.MaxHeartbeats, min(n/callerShare, byMemory, maxHeartbeatConns))
	setDefault(&s.MaxPeers, min(n/peerShare, byMemory))
	setDefault(&s.MaxProbes, min(n/smallShare, maxSmallConns))
	setDefault(&s.MaxOperators, min(n/smallShare, maxSmallConns))
	setDefault(&s.MaxOutgoing, n/outgoingShare)
	setDefault(&s.BodyBytes, memory/bodyShare)
	setDefault(&s.FrameBytes, max(memory/frameShare, minFrameBytes))
	setDefault(&s.SocketBuffer, defaultSocketBytes)
	setDefault(&s.MaxDumps, max(int(memory/dumpMemory), minDumps))
	setDefault(&s.StallTime, defaultStallTime)
	setDefault(&s.YieldTime, defaultYieldTime)
	s.Heads = s.Heads.Or(DefaultHeads)
	return s
}

func setDefault[T int | int64 | time.Duration](p *T, v T) {
	if *p <= 0 {
		*p = v
	}
}

// maxConns returns the maximum number of connections of a port.
func (s Settings) maxConns(port string) int {
	switch port {
	case Callers:
		return s.MaxCallers
	case Heartbeats:
		return s.MaxHeartbeats
	case Peers:
		return s.MaxPeers
	case Probes:
		return s.MaxProbes
	}
	return s.MaxOperators
}
