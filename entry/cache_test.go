package entry

import (
	"flag"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"hemlockhinge/conf"
	"hemlockhinge/fakes"
	"hemlockhinge/jobs"
	"hemlockhinge/pack"
	"hemlockhinge/store"
)

// The properties are drawn from a fixed seed unless told otherwise.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestSumsFollowRecords feeds records in any order and checks that the sums
// kept by the way are those of the records that are there.
func TestSumsFollowRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Ports{
			Store: fakes.NewStore(),
			Log:   logrus.NewEntry(logrus.New()),
		}, conf.EntrySettings{
			ID: "e",
		})
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			e.keepJob(drawRecord(t))
		}
		total, claims, queued := map[string]pack.Size{}, map[string]int{}, map[string]int{}
		for _, r := range e.cache {
			j := r.Body
			if j.State.Final() {
				continue
			}
			total[j.Domain] = total[j.Domain].Add(j.Shape.Total())
			if j.Guarantee != "" {
				claims[j.Domain+j.Guarantee]++
			}
			if j.State == jobs.Accepted {
				queued[j.Customer]++
			}
		}
		for d, v := range e.demands {
			if v.total != total[d] {
				t.Fatalf("demand of %s is %+v, should be %+v", d, v.total, total[d])
			}
			if v.claims["g"] != claims[d+"g"] {
				t.Fatalf("claims in %s are %d, should be %d", d, v.claims["g"], claims[d+"g"])
			}
		}
		for c, n := range e.queued {
			if n != queued[c] {
				t.Fatalf("customer %s has %d jobs waiting, should have %d", c, n, queued[c])
			}
		}
	})
}

func drawRecord(t *rapid.T) store.Record[jobs.Job] {
	r := store.NewRecord(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id"), jobs.Job{
		Domain:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"),
		Customer:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
		State:     rapid.SampledFrom([]jobs.State{jobs.Accepted, jobs.Running, jobs.Done}).Draw(t, "state"),
		Guarantee: rapid.SampledFrom([]string{"", "g"}).Draw(t, "guarantee"),
		Shape: pack.Shape{
			Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"),
			Size:  pack.Size{Accelerators: 1},
		},
	})
	r.Revision = rapid.Uint64Range(1, 100).Draw(t, "revision")
	r.Deleted = rapid.Bool().Draw(t, "deleted")
	return r
}
