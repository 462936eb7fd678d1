package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// cluster is three zones of three entries that tell each other their demands.
type cluster struct {
	entries     [3][3]*Limiter
	demands     [3][3]map[string]float64
	partitioned bool // zone 0 is cut off
}

const tenantCount = 62

func newCluster(limit float64) *cluster {
	f := &cluster{}
	limits := map[string]float64{}
	for i := range tenantCount {
		limits[fmt.Sprint("team-", i)] = limit
	}
	for z := range f.entries {
		for i := range f.entries[z] {
			f.entries[z][i] = New(time.Now)
			f.entries[z][i].SetLimits(limits, 3)
		}
	}
	return f
}

// exchangeDemands has every entry tell its demands and compute its parts.
func (f *cluster) exchangeDemands() {
	for z := range f.entries {
		for i, q := range f.entries[z] {
			f.demands[z][i] = q.Demands()
		}
	}
	for z := range f.entries {
		for i, q := range f.entries[z] {
			q.UpdateShares(f.view(z, i))
		}
	}
}

func (f *cluster) view(zone, entry int) DemandView {
	v := DemandView{Zones: 3, EntryDemands: map[string]map[string]float64{}, ZoneDemands: map[string]map[string]float64{}, AllZonesHeard: !f.partitioned}
	for i, demands := range f.demands[zone] {
		if i != entry {
			v.EntryDemands[fmt.Sprint(i)] = demands
		}
	}
	for z := range f.demands {
		if z == zone {
			continue
		}
		sum := map[string]float64{}
		for _, demands := range f.demands[z] {
			for tenant, rate := range demands {
				sum[tenant] += rate
			}
		}
		v.ZoneDemands[fmt.Sprint(z)] = sum
	}
	return v
}

// offerLoad offers a tenant's load at some entries for a while and counts what is let in.
func (f *cluster) offerLoad(duration time.Duration, tenant string, entries [][2]int) int {
	admitted := 0
	for range int(duration / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		for _, entry := range entries {
			for range 3 {
				if ok, _ := f.entries[entry[0]][entry[1]].Take(tenant, 1); ok {
					admitted++
				}
			}
		}
		if time.Now().UnixMilli()%500 < 10 {
			f.exchangeDemands()
		}
	}
	return admitted
}

func (f *cluster) totalRate(tenant string) float64 {
	sum := 0.0
	for z := range f.entries {
		for _, q := range f.entries[z] {
			sum += q.Rate(tenant)
		}
	}
	return sum
}

func TestSharesStayWithinQuotaAndFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(100)
		f.offerLoad(5*time.Second, "team-7", [][2]int{{0, 0}})
		admitted := f.offerLoad(10*time.Second, "team-7", [][2]int{{0, 0}})
		// 100 a second are the quota; the other eight entries keep the least part each.
		if admitted > 1050 || admitted < 800 {
			t.Errorf("%d starts in 10 s at one entry of a quota of 100 a second", admitted)
		}
		for i := range tenantCount {
			if sum := f.totalRate(fmt.Sprint("team-", i)); sum > 101 {
				t.Errorf("parts of team-%d add up to %.1f of 100", i, sum)
			}
		}
		f.offerLoad(5*time.Second, "team-7", [][2]int{{2, 1}})
		if rate := f.entries[2][1].Rate("team-7"); rate < 60 {
			t.Errorf("5 s after the demand moved its entry has %.1f of 100", rate)
		}
	})
}

// TestPartitionedZonesStayWithinQuota has demand rise on both sides of a cut.
func TestPartitionedZonesStayWithinQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(100)
		f.offerLoad(5*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		f.partitioned = true
		admitted := f.offerLoad(10*time.Second, "team-1", [][2]int{{0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 2}})
		if admitted > 1100 {
			t.Errorf("%d starts in 10 s on both sides of a cut, of a quota of 100 a second", admitted)
		}
	})
}

// TestOvershootIsBoundedUntilSharesFollowDemand holds the excess to what can be saved up and to
// the time until the parts follow.
func TestOvershootIsBoundedUntilSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(100)
		f.offerLoad(5*time.Second, "team-1", [][2]int{{0, 0}})
		admitted := f.offerLoad(2*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		if admitted > 2*100+3*50 {
			t.Errorf("%d starts in the 2 s after demand came up in two more zones", admitted)
		}
	})
}

func TestJobLargerThanBurstIsAdmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(time.Now)
		q.SetLimits(map[string]float64{"a": 30}, 1)
		if ok, _ := q.Take("a", 660); !ok {
			t.Fatal("a job larger than the burst never gets in")
		}
		ok, at := q.Take("a", 1)
		if wait := time.Until(at); ok || wait < 20*time.Second || wait > 23*time.Second {
			t.Errorf("after 660 starts of 30 a second: let in %v, wait %s", ok, wait)
		}
	})
}
