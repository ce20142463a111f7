package wire

// Head is the head of a request to an agent. Key is the request's idempotency key, and Claim
// the store revision of the claim on that key; zero means that there is none.
type Head struct {
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Service     string
	Method      string
	Path        string
	Header      map[string][]string
	Length      int64
	TimeoutMS   uint32
	Idempotent  bool
	Key         string
	Claim       uint64
	Incarnation uint64
}

// Verdict admits a request to a slot; the entry then sends the request's body. Replay says
// that the agent discards the body and answers with the recorded response to an earlier
// request with the same idempotency key.
type Verdict struct {
	_msgpack struct{} `msgpack:",as_array"`
	Replay   bool
}

// Response is the head of a response.
type Response struct {
	_msgpack struct{} `msgpack:",as_array"`
	Status   int
	Header   map[string][]string
	Length   int64
}

// Chunk is a part of the body of a request or response.
type Chunk struct {
	_msgpack struct{} `msgpack:",as_array"`
	Data     []byte
}

// End follows the last chunk of a complete body.
type End struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Abort ends a body that is incomplete. Untouched says that the request never reached the
// worker.
type Abort struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Detail    string
	Untouched bool
}
