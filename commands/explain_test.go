package commands

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/explanation"
)

// TestExplainCommandPrintsAnswer guards against options that do not reach the entry, and answers printed incompletely.
func TestExplainCommandPrintsAnswer(t *testing.T) {
	answer := explanation.Explanation{Group: "b/0", Route: explanation.Spillover, Holder: "e2", Address: "127.0.0.1:9", Placement: &explanation.Placement{
		Group: "a/0", Target: "b/0", Waiting: 3, Turn: time.Time{}.Add(40 * time.Millisecond),
		Steps: []explanation.Step{{Excluded: map[explanation.Reason]int{explanation.Resources: 7}}, {Worker: "w1", Runtime: 12}},
	}}
	asked := explanation.Query{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&asked); err != nil || printJSON(w, answer) != nil {
			t.Error("not answered", err)
		}
	}))
	defer server.Close()
	var out bytes.Buffer
	code := Main([]string{"explain", "hold", "--metrics", strings.TrimPrefix(server.URL, "http://"), "--deadline", "1500ms", "--count", "4"}, &out, &out)
	if code != exitOK || asked.Queue != "hold" || asked.Deadline != 1500 || asked.Count != 4 || asked.Cores != 1000 {
		t.Errorf("code %d, asked %+v", code, asked)
	}
	for _, want := range []string{"b/0 (spillover), held by e2", "127.0.0.1:9", "from a/0 to b/0", "in 40 ms, after 3 waiting", "7 resources", "w1, expected run time 12 ms"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, &out)
		}
	}
}
