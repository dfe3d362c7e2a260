package caller

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/operator"
)

// TestCallPath guards against calls that are forwarded with another path than was sent, or repeated though the service may read the path as that of
// a call which may not be.
func TestCallPath(t *testing.T) {
	sv := &operator.Service{Calls: []operator.Call{
		{Method: "POST", Path: "/stock/{item}", Idempotent: true},
		{Method: "POST", Path: "/bookings"},
		{Method: "POST", Path: "/bookings/{id}"},
		{Method: "POST", Path: "/bookings/{id}/note", Idempotent: true},
	}}
	for _, x := range []struct {
		target, path, entry string
		idempotent          bool
	}{
		{"/v1/services/pickup/stock/cork", "/stock/cork", "/stock/{item}", true},
		{"/v1/services/pickup/stock/cork%2Fred", "/stock/cork%2Fred", "/stock/{item}", true},
		{"/v1/services/pickup/stock/cork%3Fx?y", "/stock/cork%3Fx", "/stock/{item}", true},
		{"/v1/services/pickup/stock/..%2Fbookings", "/stock/..%2Fbookings", "/stock/{item}", false},
		{"/v1/services/pickup/bookings/1%2Fnote", "/bookings/1%2Fnote", "/bookings/{id}", false},
		{"/v1/services/pickup/bookings/1/note", "/bookings/1/note", "/bookings/{id}/note", true},
	} {
		Convey(x.target, t, func() {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + x.target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
			So(err, ShouldBeNil)
			So(callPath(r), ShouldEqual, x.path)
			c, err := matchCall(sv, "POST", callPath(r))
			So(err, ShouldBeNil)
			So(c.Path, ShouldEqual, x.entry)
			So(c.Idempotent, ShouldEqual, x.idempotent)
		})
	}
}
