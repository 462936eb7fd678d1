package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// cluster simulates three zones of three entries that exchange their demands.
type cluster struct {
	entries     [3][3]*Limiter
	demands     [3][3]map[string]float64
	partitioned bool // the zones no longer receive each other's demands
}

const tenantCount = 62

func newCluster(limit float64) *cluster {
	c := &cluster{}
	limits := map[string]float64{}
	for i := range tenantCount {
		limits[fmt.Sprint("team-", i)] = limit
	}
	for z := range c.entries {
		for i := range c.entries[z] {
			c.entries[z][i] = New(time.Now)
			c.entries[z][i].SetLimits(limits, 3)
		}
	}
	return c
}

// exchangeDemands collects the demands of all entries and updates their shares.
func (c *cluster) exchangeDemands() {
	for z := range c.entries {
		for i, l := range c.entries[z] {
			c.demands[z][i] = l.Demands()
		}
	}
	for z := range c.entries {
		for i, l := range c.entries[z] {
			l.UpdateShares(c.view(z, i))
		}
	}
}

// view returns the demands that an entry knows of the others.
func (c *cluster) view(zone, entry int) DemandView {
	v := DemandView{Zones: 3, EntryDemands: map[string]map[string]float64{}, ZoneDemands: map[string]map[string]float64{}, AllZonesHeard: !c.partitioned}
	for i, demands := range c.demands[zone] {
		if i != entry {
			v.EntryDemands[fmt.Sprint(i)] = demands
		}
	}
	for z := range c.demands {
		if z == zone {
			continue
		}
		sum := map[string]float64{}
		for _, demands := range c.demands[z] {
			for tenant, rate := range demands {
				sum[tenant] += rate
			}
		}
		v.ZoneDemands[fmt.Sprint(z)] = sum
	}
	return v
}

// offerLoad requests 300 starts per second for a tenant at each of the given entries,
// given by zone and number, and returns the number of starts admitted.
func (c *cluster) offerLoad(duration time.Duration, tenant string, entries [][2]int) int {
	admitted := 0
	for range int(duration / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		for _, entry := range entries {
			for range 3 {
				if ok, _ := c.entries[entry[0]][entry[1]].Take(tenant, 1); ok {
					admitted++
				}
			}
		}
		if time.Now().UnixMilli()%500 < 10 {
			c.exchangeDemands()
		}
	}
	return admitted
}

// totalRate returns the sum of the shares of all entries.
func (c *cluster) totalRate(tenant string) float64 {
	sum := 0.0
	for z := range c.entries {
		for _, l := range c.entries[z] {
			sum += l.Rate(tenant)
		}
	}
	return sum
}

// TestSharesStayWithinQuotaAndFollowDemand checks that an entry with all the demand
// gets nearly the whole quota, that the shares add up to no more than the quota, and
// that they follow when the demand moves to another zone.
func TestSharesStayWithinQuotaAndFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(100)
		c.offerLoad(5*time.Second, "team-7", [][2]int{{0, 0}})
		admitted := c.offerLoad(10*time.Second, "team-7", [][2]int{{0, 0}})
		// The quota is 100 starts per second; the other eight entries keep their minimum shares.
		if admitted > 1050 || admitted < 800 {
			t.Errorf("%d starts in 10 s at one entry, with a quota of 100 per second", admitted)
		}
		for i := range tenantCount {
			if sum := c.totalRate(fmt.Sprint("team-", i)); sum > 101 {
				t.Errorf("shares of team-%d add up to %.1f, with a quota of 100 per second", i, sum)
			}
		}
		c.offerLoad(5*time.Second, "team-7", [][2]int{{2, 1}})
		if rate := c.entries[2][1].Rate("team-7"); rate < 60 {
			t.Errorf("5 s after the demand moved to an entry its share is %.1f of 100", rate)
		}
	})
}

// TestPartitionedZonesStayWithinQuota guards against zones that exceed the quota
// together because demand rises in each while they are partitioned from each other.
func TestPartitionedZonesStayWithinQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(100)
		c.offerLoad(5*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		c.partitioned = true
		admitted := c.offerLoad(10*time.Second, "team-1", [][2]int{{0, 0}, {0, 1}, {1, 0}, {1, 1}, {2, 2}})
		if admitted > 1100 {
			t.Errorf("%d starts in 10 s in partitioned zones, with a quota of 100 per second", admitted)
		}
	})
}

// TestOvershootIsBoundedUntilSharesFollowDemand checks how far starts may exceed the
// quota after demand appears in other zones: by the accumulated tokens and by the
// time until the shares are updated.
func TestOvershootIsBoundedUntilSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(100)
		c.offerLoad(5*time.Second, "team-1", [][2]int{{0, 0}})
		admitted := c.offerLoad(2*time.Second, "team-1", [][2]int{{0, 0}, {1, 0}, {2, 0}})
		if admitted > 2*100+3*50 {
			t.Errorf("%d starts in the 2 s after demand appeared in two more zones", admitted)
		}
	})
}

// TestJobLargerThanBurstIsAdmittedOnce checks that a job with more starts than a
// bucket can hold is admitted, and that the bucket then refills before the next.
func TestJobLargerThanBurstIsAdmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		l.SetLimits(map[string]float64{"a": 30}, 1)
		if ok, _ := l.Take("a", 660); !ok {
			t.Fatal("a job larger than the burst is refused while the bucket is full")
		}
		ok, at := l.Take("a", 1)
		if wait := time.Until(at); ok || wait < 20*time.Second || wait > 23*time.Second {
			t.Errorf("after 660 starts with a quota of 30 per second: admitted %v, wait %s", ok, wait)
		}
	})
}
