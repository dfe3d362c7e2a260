package booking

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var begin = time.Unix(1_000_000, 0)

func claimBy(a AttemptID) Op {
	return Op{Kind: OpClaim, ID: "r", Attempt: a, Digest: "d", CallBy: begin.Add(time.Minute), ExpiresAt: begin.Add(time.Hour)}
}

func TestBucket(t *testing.T) {
	stored := &Answer{Status: 200, Body: []byte("x")}
	complete := Op{Kind: OpComplete, ID: "r", Attempt: "a", Answer: stored}
	release := Op{Kind: OpRelease, ID: "r", Attempt: "a", ExpiresAt: begin.Add(time.Minute)}
	other := claimBy("b")
	other.Digest = "another"
	tests := []struct {
		name  string
		ops   []Op
		after time.Duration
		want  []Outcome
	}{
		{"the first claim wins", []Op{claimBy("a"), claimBy("b")}, 0, []Outcome{Claimed, InProgress}},
		{"a claim made twice is one", []Op{claimBy("a"), claimBy("a")}, 0, []Outcome{Claimed, Claimed}},
		{"after the call's end its outcome is unknown", []Op{claimBy("a"), claimBy("b")}, 2 * time.Minute, []Outcome{Claimed, Unknown}},
		{"clocks may differ a little", []Op{claimBy("a"), claimBy("b")}, time.Minute + 2*time.Second, []Outcome{Claimed, InProgress}},
		{"a finished booking gives its answer", []Op{claimBy("a"), complete, claimBy("b")}, 0, []Outcome{Claimed, Applied, Finished}},
		{"also to its own claim made again", []Op{claimBy("a"), complete, claimBy("a")}, 0, []Outcome{Claimed, Applied, Finished}},
		{"a key is for one call", []Op{claimBy("a"), other}, 0, []Outcome{Claimed, KeyReused}},
		{"a released booking may be claimed", []Op{claimBy("a"), release, claimBy("b")}, 0, []Outcome{Claimed, Applied, Claimed}},
		{"but not by the released claim arriving again", []Op{claimBy("a"), release, claimBy("a")}, 0, []Outcome{Claimed, Applied, NotOwner}},
		{"nor arriving after its release", []Op{release, claimBy("a"), claimBy("b")}, 0, []Outcome{Applied, NotOwner, Claimed}},
		{"nobody releases another's claim", []Op{claimBy("b"), release, claimBy("c")}, 0, []Outcome{Claimed, NotOwner, InProgress}},
		{"nobody completes another's claim", []Op{claimBy("b"), complete}, 0, []Outcome{Claimed, NotOwner}},
		{"a finished booking is not released", []Op{claimBy("a"), complete, release, claimBy("b")}, 0, []Outcome{Claimed, Applied, NotOwner, Finished}},
	}
	Convey("Bucket", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				var b Bucket
				now := begin
				for i, op := range tt.ops {
					So(b.Apply(now, op, 0).Outcome, ShouldEqual, tt.want[i])
					now = begin.Add(tt.after)
				}
			})
		}
		Convey("records are dropped when they need not be kept", func() {
			var b Bucket
			b.Apply(begin, claimBy("a"), 0)
			b.Prune(begin.Add(2 * time.Hour))
			So(b.Records, ShouldBeEmpty)
		})
		Convey("a bucket near the platform's limit takes no new records, but answers", func() {
			var b Bucket
			b.Apply(begin, claimBy("a"), 0)
			full := claimBy("b")
			full.ID = "r2"
			So(b.Apply(begin, full, fullAt).Outcome, ShouldEqual, BucketFull)
			So(b.Apply(begin, complete, fullAt).Outcome, ShouldEqual, Applied)
		})
		Convey("a long answer is kept by its status only", func() {
			var b Bucket
			b.Apply(begin, claimBy("a"), 0)
			long := complete
			long.Answer = &Answer{Status: 201, Body: make([]byte, MaxAnswerBody+1)}
			b.Apply(begin, long, 0)
			So(b.Apply(begin, claimBy("b"), 0).Answer, ShouldResemble, &Answer{Status: 201})
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
		b.Apply(begin, op, len(raw))
		if _, err := json.Marshal(b); err != nil {
			t.Fatal(err)
		}
	})
}
