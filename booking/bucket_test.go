package booking

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testStart is the time at which the tests begin.
var testStart = time.Unix(1_000_000, 0)

// claimBy returns a claim of record "r" by an attempt.
func claimBy(a AttemptID) Op {
	return Op{Kind: OpClaim, ID: "r", Attempt: a, Digest: "d", CallDeadline: testStart.Add(time.Minute), ExpiresAt: testStart.Add(time.Hour)}
}

func TestBucket(t *testing.T) {
	stored := &Answer{Status: 200, Body: []byte("x")}
	complete := Op{Kind: OpComplete, ID: "r", Attempt: "a", Answer: stored}
	release := Op{Kind: OpRelease, ID: "r", Attempt: "a", ExpiresAt: testStart.Add(time.Minute)}
	other := claimBy("b")
	other.Digest = "another"
	tests := []struct {
		name  string
		ops   []Op
		after time.Duration
		want  []Outcome
	}{
		{"the first claim wins", []Op{claimBy("a"), claimBy("b")}, 0, []Outcome{Claimed, InProgress}},
		{"repeating a claim has the same outcome", []Op{claimBy("a"), claimBy("a")}, 0, []Outcome{Claimed, Claimed}},
		{"after the call's deadline its outcome is unknown", []Op{claimBy("a"), claimBy("b")}, 2 * time.Minute, []Outcome{Claimed, Unknown}},
		{"within the clock skew after the deadline the call is still under way", []Op{claimBy("a"), claimBy("b")}, time.Minute + 2*time.Second, []Outcome{Claimed, InProgress}},
		{"a claim of a finished booking returns its response", []Op{claimBy("a"), complete, claimBy("b")}, 0, []Outcome{Claimed, Applied, Finished}},
		{"so does a repeated claim of the attempt that ran it", []Op{claimBy("a"), complete, claimBy("a")}, 0, []Outcome{Claimed, Applied, Finished}},
		{"a key cannot be reused for another call", []Op{claimBy("a"), other}, 0, []Outcome{Claimed, KeyReused}},
		{"a released booking may be claimed by another attempt", []Op{claimBy("a"), release, claimBy("b")}, 0, []Outcome{Claimed, Applied, Claimed}},
		{"a released booking rejects its own claim when that is repeated", []Op{claimBy("a"), release, claimBy("a")}, 0, []Outcome{Claimed, Applied, NotOwner}},
		{"a claim is rejected if its release arrives first", []Op{release, claimBy("a"), claimBy("b")}, 0, []Outcome{Applied, NotOwner, Claimed}},
		{"an attempt cannot release another attempt's claim", []Op{claimBy("b"), release, claimBy("c")}, 0, []Outcome{Claimed, NotOwner, InProgress}},
		{"an attempt cannot complete another attempt's claim", []Op{claimBy("b"), complete}, 0, []Outcome{Claimed, NotOwner}},
		{"a finished booking cannot be released", []Op{claimBy("a"), complete, release, claimBy("b")}, 0, []Outcome{Claimed, Applied, NotOwner, Finished}},
	}
	Convey("Bucket", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				var b Bucket
				now := testStart
				for i, op := range tt.ops {
					So(b.Apply(now, op, 0).Outcome, ShouldEqual, tt.want[i])
					now = testStart.Add(tt.after)
				}
			})
		}
		Convey("expired records are removed", func() {
			var b Bucket
			b.Apply(testStart, claimBy("a"), 0)
			b.Prune(testStart.Add(2 * time.Hour))
			So(b.Records, ShouldBeEmpty)
		})
		Convey("a bucket near the platform's size limit accepts responses but no new records", func() {
			var b Bucket
			b.Apply(testStart, claimBy("a"), 0)
			full := claimBy("b")
			full.ID = "r2"
			So(b.Apply(testStart, full, fullSize).Outcome, ShouldEqual, BucketFull)
			So(b.Apply(testStart, complete, fullSize).Outcome, ShouldEqual, Applied)
		})
		Convey("only the status of a response over the size limit is stored", func() {
			var b Bucket
			b.Apply(testStart, claimBy("a"), 0)
			long := complete
			long.Answer = &Answer{Status: 201, Body: make([]byte, MaxAnswerBody+1)}
			b.Apply(testStart, long, 0)
			So(b.Apply(testStart, claimBy("b"), 0).Answer, ShouldResemble, &Answer{Status: 201})
		})
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":0,"id":"r","attempt":"a","digest":"d","callBy":"2026-01-01T00:00:00Z","keep":"2026-01-01T01:00:00Z"}`))
	f.Add([]byte(`{"records":{"r":{"state":1,"attempt":"a","answer":{"status":200}}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := decodeBucket(raw)
		if err != nil {
			return
		}
		var op Op
		if json.Unmarshal(raw, &op) != nil || op.Check() != nil {
			op = claimBy("a")
		}
		b.Apply(testStart, op, len(raw))
		if _, err := json.Marshal(b); err != nil {
			t.Fatal(err)
		}
	})
}
