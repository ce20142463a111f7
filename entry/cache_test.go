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

// Property tests use a fixed seed unless the -rapid.seed flag is set.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestTotalsMatchCachedRecords caches records in random order, including deleted ones and
// outdated revisions, and checks that the incrementally updated totals equal those
// computed from the cached records.
func TestTotalsMatchCachedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Ports{
			Store: fakes.NewStore(),
			Log:   logrus.NewEntry(logrus.New()),
		}, conf.EntrySettings{
			ID: "e",
		})
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			e.cacheJob(drawRecord(t))
		}
		total, claims, queued := map[string]pack.Size{}, map[string]int{}, map[string]int{}
		for _, r := range e.jobCache {
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
		for d, v := range e.demandByDomain {
			if v.total != total[d] {
				t.Fatalf("demand of failure domain %s is %+v, want %+v", d, v.total, total[d])
			}
			if v.claimedUnits["g"] != claims[d+"g"] {
				t.Fatalf("failure domain %s has %d claimed units, want %d", d, v.claimedUnits["g"], claims[d+"g"])
			}
		}
		for c, n := range e.queuedByCustomer {
			if n != queued[c] {
				t.Fatalf("customer %s has %d queued jobs, want %d", c, n, queued[c])
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
