package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fleet is three zones of three entries that tell each other their demands.
type fleet struct {
	entries [3][3]*Quota
	told    [3][3]map[string]float64
	cut     bool // zone 0 is cut off
}

const teams = 62

func newFleet(limit float64) *fleet {
	f := &fleet{}
	limits := map[string]float64{}
	for i := range teams {
		limits[fmt.Sprint("team-", i)] = limit
	}
	for z := range f.entries {
		for i := range f.entries[z] {
			f.entries[z][i] = New(time.Now)
			f.entries[z][i].Set(limits, 3)
		}
	}
	return f
}

// share has every entry tell its demands and compute its parts.
func (f *fleet) share() {
	for z := range f.entries {
		for i, q := range f.entries[z] {
			f.told[z][i] = q.Demands()
		}
	}
	for z := range f.entries {
		for i, q := range f.entries[z] {
			q.Share(f.view(z, i))
		}
	}
}

func (f *fleet) view(zone, entry int) View {
	v := View{Zones: 3, Members: map[string]map[string]float64{}, Others: map[string]map[string]float64{}, Whole: !f.cut}
	for i, demands := range f.told[zone] {
		if i != entry {
			v.Members[fmt.Sprint(i)] = demands
		}
	}
	for z := range f.told {
		if z == zone {
			continue
		}
		sum := map[string]float64{}
		for _, demands := range f.told[z] {
			for tenant, rate := range demands {
				sum[tenant] += rate
			}
		}
		v.Others[fmt.Sprint(z)] = sum
	}
	return v
}

// run offers a tenant's load at some entries for a while and counts what is let in.
func (f *fleet) run(span time.Duration, tenant string, at [][2]int) int {
	taken := 0
	for range int(span / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		for _, place := range at {
			for range 3 {
				if ok, _ := f.entries[place[0]][place[1]].Take(tenant, 1); ok {
					taken++
				}
			}
		}
		if time.Now().UnixMilli()%500 < 10 {
			f.share()
		}
	}
	return taken
}

func (f *fleet) sum(tenant string) float64 {
	sum := 0.0
	for z := range f.entries {
		for _, q := range f.entries[z] {
			sum += q.Rate(tenant)
		}
	}
	return sum
}

func TestSumHoldsAndPartsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(100)
		f.run(5*time.Second, "team-7", [][2]int{{0, 0}})
		taken := f.run(10*time.Second, "team-7", [][2]int{{0, 0}})
		// 100 a second are the quota; the other eight entries keep the least part each.
		if taken > 1050 || taken < 800 {
			t.Errorf("%d starts in 10 s at one entry of a quota of 100 a second", taken)
		}
		for i := range teams {
			if sum := f.sum(fmt.Sprint("team-", i)); sum > 101 {
				t.Errorf("parts of team-%d add up to %.1f of 100", i, sum)
			}
		}
		f.run(5*time.Second, "team-7", [][2]int{{2, 1}})
		if part := f.entries[2][1].Rate("team-7"); part < 60 {
			t.Errorf("5 s after the demand moved its entry has %.1f of 100", part)
		}
	})
}

// TestZonesCutOffStayWithinTheQuota has demand rise on both sides of a cut.
func TestZonesCutOffStayWithinTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(100)
		f.run(5*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		f.cut = true
		taken := f.run(10*time.Second, "team-1", [][2]int{{0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 2}})
		if taken > 1100 {
			t.Errorf("%d starts in 10 s on both sides of a cut, of a quota of 100 a second", taken)
		}
	})
}

// TestOvershootWhileViewsDiffer holds the excess to what can be saved up and to
// the time until the parts follow.
func TestOvershootWhileViewsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(100)
		f.run(5*time.Second, "team-1", [][2]int{{0, 0}})
		taken := f.run(2*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		if taken > 2*100+3*50 {
			t.Errorf("%d starts in the 2 s after demand came up in two more zones", taken)
		}
	})
}

func TestLargeJobIsLetInOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(time.Now)
		q.Set(map[string]float64{"a": 30}, 1)
		if ok, _ := q.Take("a", 660); !ok {
			t.Fatal("a job larger than the burst never gets in")
		}
		ok, at := q.Take("a", 1)
		if wait := time.Until(at); ok || wait < 20*time.Second || wait > 23*time.Second {
			t.Errorf("after 660 starts of 30 a second: let in %v, wait %s", ok, wait)
		}
	})
}
