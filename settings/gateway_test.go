package settings_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/golden"
	"quetzalhold/settings"
)

func TestGateway(t *testing.T) {
	raw, err := os.ReadFile("../examples/gateway.json")
	if err != nil {
		t.Fatal(err)
	}
	Convey("The example is valid", t, func() {
		So(settings.IsGateway(raw), ShouldBeTrue)
		g, err := settings.ParseGateway(raw)
		So(err, ShouldBeNil)
		So(string(g.Region("wv-a")), ShouldEqual, "willamette")
		So(string(g.Region("elsewhere")), ShouldEqual, "elsewhere")
	})
	Convey("All faults are reported together", t, func() {
		bad := strings.NewReplacer(
			`"cn-a",`, `"xx",`, `"10.1.0.40:8227"`, `"somewhere"`, `"graceS": 8`, `"graceS": 0`, `"linkMbps"`, `"linkMbs"`,
			`"drainMs": 3000`, `"drainMs": "long"`, `"id": "front-cn-a-1",`, ``,
		).Replace(string(raw))
		_, err := settings.ParseGateway([]byte(bad))
		So(err, ShouldNotBeNil)
		So(golden.Diff("testdata/gateway.golden", []byte(err.Error()+"\n")), ShouldBeEmpty)
	})
	Convey("Bounds below 0 are faults", t, func() {
		_, err := settings.ParseGateway([]byte(strings.Replace(string(raw), "{", `{"maxFds": -1, "slowReaderMemoryMB": -1,`, 1)))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "maxFds")
		So(err.Error(), ShouldContainSubstring, "slowReaderMemoryMB")
	})
	Convey("Limits of clients that no process can keep are faults", t, func() {
		parse := func(clients string) error {
			_, err := settings.ParseGateway([]byte(strings.Replace(string(raw), `"memoryMB": 134,`, `"memoryMB": 134, "maxFds": 4100, "clients": `+clients+",", 1)))
			return err
		}
		So(parse(`{"headBytes": 32768, "headMemoryMB": 8, "idleConnections": 1000}`), ShouldBeNil)
		So(parse(`{}`), ShouldBeNil)
		err := parse(`{"headBytes": 100, "headMemoryMB": 135, "idleConnections": -1}`)
		So(err, ShouldNotBeNil)
		for _, field := range []string{"headBytes", "headMemoryMB", "idleConnections"} {
			So(err.Error(), ShouldContainSubstring, "clients."+field)
		}
	})
	Convey("Invalid JSON is an error", t, func() {
		So(settings.IsGateway([]byte("{")), ShouldBeFalse)
		_, err := settings.ParseGateway([]byte("{"))
		So(err, ShouldNotBeNil)
	})
}
