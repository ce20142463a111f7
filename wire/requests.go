package wire

// RequestHead is the head of a request to an agent. ClaimRevision is the store revision of
// the claim on the request's idempotency key; zero means that there is none.
type RequestHead struct {
	_msgpack       struct{} `msgpack:",as_array"`
	ID             string
	Service        string
	Method         string
	Path           string
	Header         map[string][]string
	Length         int64
	TimeoutMS      uint32
	Idempotent     bool
	IdempotencyKey string
	ClaimRevision  uint64
	Incarnation    uint64
}

// Admitted admits a request to a slot; the entry then sends the request's body. Replayed
// says that the agent discards the body and answers with the recorded response to an earlier
// request with the same idempotency key.
type Admitted struct {
	_msgpack struct{} `msgpack:",as_array"`
	Replayed bool
}

// ResponseHead is the head of a response.
type ResponseHead struct {
	_msgpack struct{} `msgpack:",as_array"`
	Status   int
	Header   map[string][]string
	Length   int64
}

// BodyChunk is a part of the body of a request or response.
type BodyChunk struct {
	_msgpack struct{} `msgpack:",as_array"`
	Data     []byte
}

// BodyEnd follows the last chunk of a complete body.
type BodyEnd struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// BodyAbort ends a body that is incomplete. WorkerNotReached says that the request never
// reached the worker.
type BodyAbort struct {
	_msgpack         struct{} `msgpack:",as_array"`
	Detail           string
	WorkerNotReached bool
}
