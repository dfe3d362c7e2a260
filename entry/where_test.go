package entry_test

import (
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/operator"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/standin"
)

// TestWhere guards against answers to others than operators, answers that contain a key or name another server than a
// request gets, and questions that reach servers.
func TestWhere(t *testing.T) {
	runWithServices(t, "An entry VM tells where a call would go", func(ts *testSite) {
		a, _ := whereAt(ts, relay.WhereQuery{Path: "/v1/services/pickup/bookings", Key: demo.CallerKey})
		So(a.Refusal, ShouldBeNil)
		So(a.Candidates, ShouldHaveLength, 2)
		So(a.Chosen, ShouldEqual, a.Candidates[0].Server)
		a, _ = whereAt(ts, relay.WhereQuery{Path: "/v1/services/none/x", Key: demo.CallerKey})
		So(a.Refusal.Code, ShouldEqual, result.UnknownService)
	})
	runWithSite(t, "An entry VM tells where an answer would start", 2, 1, standin.EngineConfig{}, func(ts *testSite) {
		q := relay.WhereQuery{Path: "/v1/completions", Key: demo.CallerKey, Model: string(demo.DemoModel), Tokens: "800,100"}
		a, body := whereAt(ts, q)
		So(body, ShouldNotContainSubstring, demo.CallerKey)
		So(a.Refusal, ShouldBeNil)
		So(a.Queue, ShouldResemble, &relay.WhereQueue{})
		So(a.Candidates, ShouldHaveLength, 2)
		So([]engine.ServerID{"engine-1", "engine-2"}, ShouldContain, a.Chosen)
		So(ts.generated(), ShouldEqual, 0)
		q.Key = "none"
		a, _ = whereAt(ts, q)
		So(a.Refusal.Code, ShouldEqual, result.UnknownKey)
		q.Key, q.Model = routing.Key(demo.CallerKey), "none"
		a, _ = whereAt(ts, q)
		So(a.Refusal.Code, ShouldEqual, result.UnknownModel)
		r := rawClient{site: ts, key: demo.CallerKey}.do(http.MethodGet, operator.PathWhere+"?"+q.Values().Encode(), "", nil, nil)
		So(r.err.Code, ShouldEqual, result.NotAllowed)
	})
}

// whereAt asks the first entry VM as an operator where a request would go.
func whereAt(ts *testSite, q relay.WhereQuery) (relay.WhereAnswer, string) {
	r := rawClient{site: ts, key: demo.OperatorKey}.do(http.MethodGet, operator.PathWhere+"?"+q.Values().Encode(), "", nil, nil)
	So(r.status, ShouldEqual, http.StatusOK)
	var a relay.WhereAnswer
	So(json.Unmarshal([]byte(r.body), &a), ShouldBeNil)
	So(a.Check(), ShouldBeNil)
	return a, r.body
}
