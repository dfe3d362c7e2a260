package caller

import "testing"

// BenchmarkSeal measures the cost of the cursor that is sent with each token.
func BenchmarkSeal(b *testing.B) {
	s := NewSealer(testKey)
	c := testCursor()
	b.ReportAllocs()
	for b.Loop() {
		c.Offset++
		c.AnswerDigest = c.AnswerDigest.Chain(" token")
		if _, err := s.Seal(c); err != nil {
			b.Fatal(err)
		}
	}
}
