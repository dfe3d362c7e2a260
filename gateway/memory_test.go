package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/settings"
)

// TestSlowCallersUnbounded guards against memory for slow callers without a bound where the permitted memory is unknown,
// and against a setting that is not used.
func TestSlowCallersUnbounded(t *testing.T) {
	Convey("The memory for slow callers", t, func() {
		So(slowCallerMemory(&settings.Gateway{SlowReaderMemoryMB: 3, MemoryMB: 100}), ShouldEqual, 3_000_000)
		So(slowCallerMemory(&settings.Gateway{MemoryMB: 100}), ShouldEqual, 8_000_000)
		So(slowCallerMemory(&settings.Gateway{}), ShouldEqual, 8_000_000)
	})
}
