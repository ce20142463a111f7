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
		name              string
		waited, left, aim time.Duration
		want              alloc.Timeliness
	}{
		{"just handed in", 0, 8 * s, 12 * s, alloc.OnTime},
		{"just in time", 4 * s, 8 * s, 12 * s, alloc.OnTime},
		{"late", 5 * s, 8 * s, 12 * s, alloc.Tardy},
		{"just worth something", 28 * s, 8 * s, 12 * s, alloc.Tardy},
		{"overdue", 29 * s, 8 * s, 12 * s, alloc.Overdue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if v := alloc.TimelinessOf(c.waited, c.left, c.aim); v != c.want {
				t.Errorf("timeliness %d, want %d", v, c.want)
			}
		})
	}
}

func TestRank(t *testing.T) {
	first := []alloc.Order{
		{Claim: true, Class: 0, Timeliness: alloc.Overdue, Age: 9},
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
		t.Error("the ranks are not in the order of the list")
	}
}

// queued is a job of the load below.
type queued struct {
	came, run time.Duration
}

// The load of a burst: for a while twice as much work comes as fits.
const (
	burstServers = 4
	burstJobs    = 60
	burstRun     = 4 * time.Second
	burstSlack   = 2
	calmEvery    = burstRun / burstServers
	burstEvery   = calmEvery / 2
)

func burst() []queued {
	var l []queued
	var at time.Duration
	for i := range burstJobs {
		l = append(l, queued{
			came: at,
			run:  burstRun,
		})
		at += calmEvery
		if i > burstJobs/4 && i < burstJobs/2 {
			at += burstEvery - calmEvery
		}
	}
	return l
}

// inTime serves the burst in the order of rank and counts the jobs that are in
// time, and those that are done at all.
func inTime(l []queued, rank func(q queued, now time.Duration) float64) (good, done int) {
	const tick = 100 * time.Millisecond
	waiting := slices.Clone(l)
	ends := make([]time.Duration, burstServers)
	for now := time.Duration(0); done < len(l); now += tick {
		for i := range ends {
			here := slices.DeleteFunc(slices.Clone(waiting), func(q queued) bool { return q.came > now })
			if ends[i] > now || len(here) == 0 {
				continue
			}
			q := slices.MinFunc(here, func(a, b queued) int { return cmp.Compare(rank(a, now), rank(b, now)) })
			waiting = slices.Delete(waiting, slices.Index(waiting, q), slices.Index(waiting, q)+1)
			ends[i] = now + q.run
			done++
			if ends[i]-q.came <= burstSlack*q.run {
				good++
			}
		}
	}
	return good, done
}

// TestBurstLeavesMostInTime covers the pattern of a burst at a full site: served
// by age, every job after the burst waits behind late ones. Work that comes in
// twice the capacity for a quarter of the jobs need make no more of them late
// than that quarter.
func TestBurstLeavesMostInTime(t *testing.T) {
	l := burst()
	byAge, _ := inTime(l, func(q queued, _ time.Duration) float64 { return q.came.Seconds() })
	good, done := inTime(l, func(q queued, now time.Duration) float64 {
		return alloc.Order{
			Timeliness: alloc.TimelinessOf(now-q.came, q.run, burstSlack*q.run),
			Age:        q.came.Seconds(),
		}.Rank()
	})
	if done != len(l) {
		t.Errorf("%d of %d jobs are done", done, len(l))
	}
	if good < len(l)*3/4 {
		t.Errorf("%d of %d jobs are in time; by age alone %d", good, len(l), byAge)
	}
	if byAge >= len(l)*3/4 {
		t.Errorf("%d jobs are in time by age alone: the load is no burst", byAge)
	}
}
