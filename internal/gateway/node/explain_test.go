package node

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/time/rate"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestExplainOverHTTP guards against an entry that does not answer at its metrics address, does not name the holder to
// ask instead, or takes queries without bounds.
func TestExplainOverHTTP(t *testing.T) {
	f := newFleet(t, 2, 2, worker.Options{})
	f.waitReady()
	holder := f.holderIndex()
	f.waitFor("all workers are ready", func() bool { return f.nodes[holder].allWorkersReady("a/0") })
	ask := func(n *Node, body string) (status int, e explanation.Explanation) {
		server := httptest.NewServer(n.operatorRoutes())
		defer server.Close()
		response, err := http.Post(server.URL+explanation.Path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			err = json.NewDecoder(response.Body).Decode(&e)
		}
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, e
	}
	tests := []struct {
		body string
		want int
	}{
		{`{"queue":"hold","count":2,"cores":1000}`, 200},
		{`{"host":"Hold.example","path":"/hold/","body":{"steps":[{"count":2,"cpu":1000}],"best-effort":true}}`, 200},
		{`{"queue":"none"}`, 404},
		{`{"queue":"hold","group":"x/9"}`, 404},
		{`{"queue":"hold","body":{"steps":[]}}`, 400},
		{`{"queue":"hold","count":1001}`, 400},
		{`{"queue":"` + strings.Repeat("x", maxExplainBytes) + `"}`, 413},
	}
	for i, n := range f.nodes {
		n.explainer.limiter = rate.NewLimiter(rate.Inf, 1)
		for _, c := range tests {
			status, e := ask(n, c.body)
			held := status != 200 || e.Group == "a/0" && e.Holder == f.nodes[holder].settings.VM && (e.Address == "") == (i == holder)
			placed := status != 200 || i != holder && e.Placement == nil || i == holder && e.Placement.Steps[0].Worker != "" && e.Placement.Refusal == nil
			if status != c.want || !held || !placed {
				t.Errorf("%.80s at entry %d: %d, %+v", c.body, i, status, e)
			}
		}
		n.explainer.mu.Lock()
		beside, _ := ask(n, tests[0].body)
		n.explainer.mu.Unlock()
		n.explainer.limiter = rate.NewLimiter(0, 0)
		if beyond, _ := ask(n, tests[0].body); beside != http.StatusTooManyRequests || beyond != http.StatusTooManyRequests {
			t.Errorf("beside another one %d, beyond the rate %d", beside, beyond)
		}
	}
}
