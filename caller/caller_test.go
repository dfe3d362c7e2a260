package caller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/golden"
	"quetzalhold/result"
)

const testKey = "0123456789abcdef0123456789abcdef"

func testCursor() Cursor {
	return Cursor{
		Request: "r", Organisation: "o", Deployment: "d", Version: "v@1", Seed: 7, Server: "e", Stream: "r.1",
		Attempt: 1, Offset: 2, PromptDigest: DigestText("q"), AnswerDigest: TextDigest("").Chain("a").Chain("b"), MaxTokens: 9,
	}
}

func TestSealer(t *testing.T) {
	Convey("Open returns the sealed cursor, and rejects altered text and other keys", t, func() {
		s := NewSealer(testKey)
		text, err := s.Seal(testCursor())
		So(err, ShouldBeNil)
		c, err := s.Open(text)
		So(err, ShouldBeNil)
		So(c, ShouldResemble, testCursor())
		for _, bad := range []string{"", ".", "a.b", text + "x", "x" + text, strings.Replace(text, ".", "", 1)} {
			_, err := s.Open(bad)
			So(result.CodeOf(err), ShouldEqual, result.BadCursor)
		}
		_, err = NewSealer(testKey + "x").Open(text)
		So(result.CodeOf(err), ShouldEqual, result.BadCursor)
	})
}

func FuzzOpen(f *testing.F) {
	s := NewSealer(testKey)
	text, err := s.Seal(testCursor())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("e30.AAAA")
	f.Fuzz(func(t *testing.T, in string) {
		c, err := s.Open(in)
		if err == nil && in != text {
			again, serr := s.Seal(c)
			if serr != nil || again != in {
				t.Fatalf("%q was opened as %+v", in, c)
			}
		}
	})
}

func FuzzQuestion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","prompt":"p","received":["a","b"]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var q CompletionRequest
		if json.Unmarshal(raw, &q) != nil {
			return
		}
		for _, s := range []Style{StyleCompletion, StyleChat} {
			if q.Validate(s) == nil && (q.PromptText(s) == "" || q.TokenLimit(10) <= 0 || q.TokenLimit(10) > 10) {
				t.Fatalf("accepted %+v", q)
			}
		}
	})
}

func TestAnswer(t *testing.T) {
	piece := func(at engine.Tokens, text string) engine.Delta { return engine.Delta{Offset: at, Text: text} }
	Convey("An answer", t, func() {
		a := NewAnswer(true)
		So(a.Append(0, piece(0, "x")), ShouldBeNil)
		Convey("rejects a repeated token, a skipped position and another generation", func() {
			for _, err := range []error{a.Append(0, piece(0, "x")), a.Append(0, piece(2, "z")), a.Append(1, piece(1, "y"))} {
				So(result.CodeOf(err), ShouldEqual, result.InvariantBroken)
			}
			So(a.Text(), ShouldEqual, "x")
		})
		Convey("cannot restart once a token was delivered", func() {
			So(result.CodeOf(a.Restart()), ShouldEqual, result.InvariantBroken)
			fresh := NewAnswer(false)
			So(fresh.Restart(), ShouldBeNil)
			So(fresh.Generation(), ShouldEqual, Generation(1))
		})
		Convey("resumes from a cursor with the same digest", func() {
			c := Cursor{Offset: 1, AnswerDigest: a.Digest()}
			resumed, err := ResumeAnswer(c, nil)
			So(err, ShouldBeNil)
			So(resumed.Append(0, piece(1, "y")), ShouldBeNil)
			So(a.Append(0, piece(1, "y")), ShouldBeNil)
			So(resumed.Digest(), ShouldEqual, a.Digest())
			_, err = ResumeAnswer(c, []string{"other"})
			So(result.CodeOf(err), ShouldEqual, result.ReceivedTextMismatch)
		})
	})
}

func TestReplies(t *testing.T) {
	Convey("Replies have the form of the OpenAI API", t, func() {
		var all strings.Builder
		for _, s := range []Style{StyleCompletion, StyleChat} {
			f := Formatter{ID: "r", Style: s, Model: "m", Created: time.Unix(1_000_000, 0)}
			for _, r := range []Reply{
				f.Piece(engine.Delta{Text: " one"}),
				f.Piece(engine.Delta{Offset: 1, Text: " two"}),
				f.Piece(engine.Delta{Offset: 2, Finish: engine.FinishStop}),
				f.Whole(" one two", engine.FinishStop, Usage{PromptTokens: 1, CompletionTokens: 2, TotalTokens: 3}),
			} {
				b, err := json.Marshal(r)
				So(err, ShouldBeNil)
				all.Write(b)
				all.WriteByte('\n')
			}
		}
		So(golden.Diff("testdata/replies.golden", []byte(all.String())), ShouldBeEmpty)
	})
}
