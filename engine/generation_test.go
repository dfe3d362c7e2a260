package engine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"quetzalhold/result"
)

func TestGeneration(t *testing.T) {
	Convey("Only live attempts append, and only at the next position", t, func() {
		var g Generation
		a := g.AddAttempt("s1", "r", "")
		_, err := g.Append(a.Attempt, 0, "x")
		So(err, ShouldBeNil)
		Convey("a token after a gap is rejected", func() {
			_, err := g.Append(a.Attempt, 2, "z")
			So(result.CodeOf(err), ShouldEqual, result.InvariantBroken)
			So(g.Text(), ShouldEqual, "x")
		})
		Convey("a repeated token is rejected", func() {
			_, err := g.Append(a.Attempt, 0, "x")
			So(result.CodeOf(err), ShouldEqual, result.InvariantBroken)
			So(g.Next(), ShouldEqual, 1)
		})
		Convey("the first attempt to deliver fences the other", func() {
			b := g.AddAttempt("s2", "r", "")
			fenced, err := g.Append(b.Attempt, 1, "y")
			So(err, ShouldBeNil)
			So(fenced, ShouldResemble, []Connection{a})
			_, err = g.Append(a.Attempt, 2, "late")
			So(result.CodeOf(err), ShouldEqual, result.StaleAttempt)
			So(g.Text(), ShouldEqual, "xy")
		})
		Convey("a token after the end is rejected", func() {
			_, err := g.Finish(a.Attempt, 1, FinishStop)
			So(err, ShouldBeNil)
			_, err = g.Append(a.Attempt, 1, "y")
			So(result.CodeOf(err), ShouldEqual, result.InvariantBroken)
		})
		Convey("the end must be at the next position", func() {
			_, err := g.Finish(a.Attempt, 5, FinishStop)
			So(result.CodeOf(err), ShouldEqual, result.InvariantBroken)
			So(g.Finished(), ShouldBeEmpty)
		})
	})
	Convey("Attempt numbers of a later entry VM are above those of the earlier one", t, func() {
		var g Generation
		a := g.AddAttempt("s1", "r", "")
		var later Generation
		later.Resume("x", 1, a.Attempt.NextEpoch())
		b := later.AddAttempt("s1", "r", a.Stream)
		So(b.Attempt, ShouldBeGreaterThan, a.Attempt+attemptsPerEpoch/2)
	})
}

// TestGenerationRandomly appends tokens of many attempts in random order and checks
// that the text is always a prefix of the expected one.
func TestGenerationRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const script = "abcdefghijklmnopqrstuvwxyz"
		var g Generation
		sent := make(map[Attempt]Tokens)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(sent) == 0 || rapid.IntRange(0, 9).Draw(t, "what") == 0 {
				c := g.AddAttempt("s", "r", "")
				sent[c.Attempt] = g.Next()
				continue
			}
			a := Attempt(rapid.Uint64Range(1, uint64(len(sent))).Draw(t, "attempt"))
			at := sent[a]
			if int(at) >= len(script) {
				continue
			}
			wasLive := g.IsLive(a)
			_, err := g.Append(a, at, script[at:at+1])
			sent[a]++
			if !wasLive && result.CodeOf(err) != result.StaleAttempt {
				t.Fatalf("fenced attempt %d was heard: %v", a, err)
			}
			if wasLive && err != nil {
				t.Fatalf("live attempt %d was refused: %v", a, err)
			}
			if g.Text() != script[:g.Next()] {
				t.Fatalf("text %q at %d", g.Text(), g.Next())
			}
		}
	})
}
