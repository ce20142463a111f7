package leader

import (
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
	"hemlockhinge/graph"
)

// Keys in the store. The role key and the keys that other processes write for the
// scheduler share the prefix inputsPrefix, so that a single watch delivers their
// changes in order: a scheduler learns that it has lost the role before it learns of
// any job accepted after that. Keys below progressPrefix, speedsKey, ageMarksKey and absencesKey
// are written by the scheduler alone.
const (
	inputsPrefix   = "hemlockhinge/in/"
	roleKey        = inputsPrefix + "leader"
	jobsPrefix     = inputsPrefix + "job/"
	cancelsPrefix  = inputsPrefix + "cancel/"
	agentsPrefix   = inputsPrefix + "agent/"
	progressPrefix = "hemlockhinge/progress/"
	speedsKey      = "hemlockhinge/speeds"
	ageMarksKey    = "hemlockhinge/ages"
	absencesKey    = "hemlockhinge/absences"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobsPrefix + id }

// CancelKey returns the key whose presence cancels a job.
func CancelKey(id string) string { return cancelsPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// AgentKey returns the key under which an agent at an address registers.
func AgentKey(addr string) string { return agentsPrefix + addr }

// EncodeJob encodes a job's record.
func EncodeJob(j *graph.Job) ([]byte, error) { return msgpack.Marshal(j) }

// DecodeJob decodes and checks a job's record.
func DecodeJob(b []byte) (*graph.Job, error) {
	var j graph.Job
	if err := codec.Unmarshal(b, &j); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	return &j, j.Check()
}

// DecodeProgress decodes a job's progress.
func DecodeProgress(b []byte) (*graph.Progress, error) {
	var p graph.Progress
	if err := codec.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("decode job progress: %w", err)
	}
	return &p, nil
}

// holder is the value of the role key. The nonce distinguishes attempts to acquire
// the role.
type holder struct {
	ID    string `msgpack:"i"`
	Addr  string `msgpack:"a"`
	Nonce string `msgpack:"n"`
}

// cutPrefix returns what follows the prefix in a key, and whether the key has it.
func cutPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
