package alloc_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"hemlockhinge/alloc"
)

func TestTimeliness(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name                    string
		waited, left, objective time.Duration
		want                    alloc.Timeliness
	}{
		{"just submitted", 0, 8 * s, 12 * s, alloc.OnTime},
		{"latest end on time", 4 * s, 8 * s, 12 * s, alloc.OnTime},
		{"late", 5 * s, 8 * s, 12 * s, alloc.Tardy},
		{"latest end with value", 28 * s, 8 * s, 12 * s, alloc.Tardy},
		{"overdue", 29 * s, 8 * s, 12 * s, alloc.Overdue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if v := alloc.TimelinessOf(c.waited, c.left, c.objective); v != c.want {
				t.Errorf("timeliness %d, want %d", v, c.want)
			}
		})
	}
}

func TestRank(t *testing.T) {
	first := []alloc.Order{
		{WithinGuarantee: true, Class: 0, Timeliness: alloc.Overdue, Age: 9},
		{Class: 0, Age: 1},
		{Class: 0, Age: 2},
		{Class: 0, Timeliness: alloc.Tardy, Age: 1},
		{Class: 1, Age: 1},
		{Class: 1, Timeliness: alloc.Tardy, Age: 1},
		{Class: 2, Age: 1},
		{Class: 0, Timeliness: alloc.Overdue, Age: 1},
		{Class: 1, Timeliness: alloc.Overdue, Age: 1},
	}
	if !slices.IsSortedFunc(first, func(a, b alloc.Order) int { return cmp.Compare(a.Rank(), b.Rank()) }) {
		t.Error("ranks are not ascending in the order of the list")
	}
}

// burstJob is a job of the simulated load.
type burstJob struct {
	arrival, run time.Duration
}

// The simulated load: during the burst, work arrives at twice the capacity.
const (
	burstServers   = 4
	burstJobs      = 60
	burstRun       = 4 * time.Second
	burstSlack     = 2
	normalInterval = burstRun / burstServers
	burstInterval  = normalInterval / 2
)

func burst() []burstJob {
	var l []burstJob
	var at time.Duration
	for i := range burstJobs {
		l = append(l, burstJob{
			arrival: at,
			run:     burstRun,
		})
		at += normalInterval
		if i > burstJobs/4 && i < burstJobs/2 {
			at += burstInterval - normalInterval
		}
	}
	return l
}

// simulate serves the jobs by rank, and counts those that end on time and those
// that end at all.
func simulate(l []burstJob, rank func(q burstJob, now time.Duration) float64) (onTime, done int) {
	const tick = 100 * time.Millisecond
	waiting := slices.Clone(l)
	ends := make([]time.Duration, burstServers)
	for now := time.Duration(0); done < len(l); now += tick {
		for i := range ends {
			arrived := slices.DeleteFunc(slices.Clone(waiting), func(q burstJob) bool { return q.arrival > now })
			if ends[i] > now || len(arrived) == 0 {
				continue
			}
			q := slices.MinFunc(arrived, func(a, b burstJob) int { return cmp.Compare(rank(a, now), rank(b, now)) })
			waiting = slices.Delete(waiting, slices.Index(waiting, q), slices.Index(waiting, q)+1)
			ends[i] = now + q.run
			done++
			if ends[i]-q.arrival <= burstSlack*q.run {
				onTime++
			}
		}
	}
	return onTime, done
}

// TestRankKeepsMostOfBurstOnTime covers a burst at a full site. If jobs are served
// by age, every job after the burst waits behind late ones. Ranked by timeliness,
// a burst of twice the capacity for a quarter of the jobs must make no more than
// that quarter late.
func TestRankKeepsMostOfBurstOnTime(t *testing.T) {
	l := burst()
	byAge, _ := simulate(l, func(q burstJob, _ time.Duration) float64 { return q.arrival.Seconds() })
	onTime, done := simulate(l, func(q burstJob, now time.Duration) float64 {
		return alloc.Order{
			Timeliness: alloc.TimelinessOf(now-q.arrival, q.run, burstSlack*q.run),
			Age:        q.arrival.Seconds(),
		}.Rank()
	})
	if done != len(l) {
		t.Errorf("%d of %d jobs ended", done, len(l))
	}
	if onTime < len(l)*3/4 {
		t.Errorf("%d of %d jobs on time; by age alone %d", onTime, len(l), byAge)
	}
	if byAge >= len(l)*3/4 {
		t.Errorf("%d jobs on time by age alone: the load of this test is too light", byAge)
	}
}
