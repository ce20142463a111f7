package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/clock"
)

// TestSettingsCurrent guards against starts by settings that were confirmed too long ago:
// the process was paused or its machine suspended, or no store has answered it since.
func TestSettingsCurrent(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name      string
		limit     time.Duration
		confirmed bool
		ago       time.Duration
		suspended time.Duration
		want      bool
	}{
		{"confirmed just now", limit, true, 0, 0, true},
		{"confirmed within the limit", limit, true, limit, 0, true},
		{"confirmed before that", limit, true, limit + time.Millisecond, 0, false},
		{"before that, with the time of a suspension", limit, true, 0, limit + time.Millisecond, false},
		{"never confirmed", limit, false, 0, 0, false},
		{"no limit", 0, false, 0, 0, true},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTestTerm()
				var suspended time.Duration
				c := clock.New(func() time.Duration { return suspended })
				x.leader.ports.Clock = c
				x.leader.settings.MaxSettingsAge = v.limit
				var o OperatorSettings
				if v.confirmed {
					o.ConfirmedAt = c.Now().Add(-v.ago)
				}
				x.leader.SetOperatorSettings(o)
				suspended = v.suspended
				if got := x.settingsCurrent(); got != v.want {
					t.Errorf("current: %t, not %t", got, v.want)
				}
			})
		})
	}
}
