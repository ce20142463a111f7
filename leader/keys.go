package leader

import (
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/graph"
)

// Keys of the store. Below inputs lies what others write for the scheduler, and
// the role itself, so that one watch shows their order: a scheduler hears that
// it has lost the role before it hears of any job accepted after that. Progress
// is written by the scheduler alone.
const (
	inputsPrefix   = "hemlockhinge/in/"
	roleKey        = inputsPrefix + "leader"
	jobsPrefix     = inputsPrefix + "job/"
	cancelsPrefix  = inputsPrefix + "cancel/"
	agentsPrefix   = inputsPrefix + "agent/"
	progressPrefix = "hemlockhinge/progress/"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobsPrefix + id }

// CancelKey returns the key whose presence cancels a job.
func CancelKey(id string) string { return cancelsPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// AgentKey returns the key under which an agent at an address registers.
func AgentKey(addr string) string { return agentsPrefix + addr }

// EncodeJob returns a job's record.
func EncodeJob(j *graph.Job) ([]byte, error) { return msgpack.Marshal(j) }

// DecodeJob reads a job's record.
func DecodeJob(b []byte) (*graph.Job, error) {
	var j graph.Job
	if err := msgpack.Unmarshal(b, &j); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return &j, j.Check()
}

// DecodeProgress reads a job's progress.
func DecodeProgress(b []byte) (*graph.Progress, error) {
	var p graph.Progress
	if err := msgpack.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("job progress: %w", err)
	}
	return &p, nil
}

// holder is the value of the role's key.
type holder struct {
	ID    string `msgpack:"i"`
	Addr  string `msgpack:"a"`
	Nonce string `msgpack:"n"`
}

// idOf cuts a prefix from a key.
func idOf(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
