package main

import (
	"context"
	"encoding/json"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// freeAddress returns an address with a free port. Its loopback address is used by
// this test only, so no outgoing connection takes the port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitServing waits until an HTTP server responds at address.
func awaitServing(address string) {
	for {
		resp, err := http.Get("http://" + address + "/")
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// settingsText returns settings of a gateway that is ready at an address.
func settingsText(ready string) string {
	return fmt.Sprintf(`{"id":"e","domain":"d","regions":{"d":"r"},"listen":%q,"readiness":%q,"peers":%q,"metrics":%q,"store":%q,"heartbeatMs":1200,`+
		`"bounds":{"drainMs":3000,"graceS":1,"configMs":3000,"repeatRatio":0.8,"repeatSlack":150,"repeatWindowS":10}}`,
		freeAddress(), ready, freeAddress(), freeAddress(), freeAddress())
}

// runLogged runs a gateway that is ready at an address, while f runs, and returns its log. f may stop it with the function
// that it gets.
func runLogged(ready, file string, f func(stop func())) string {
	lines, err := os.Create(filepath.Join(filepath.Dir(file), "log"))
	So(err, ShouldBeNil)
	defer func() { _ = lines.Close() }()
	stdout := os.Stdout
	os.Stdout = lines
	defer func() { os.Stdout = stdout }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	c := &gatewayCommand{ctx: ctx, Settings: file}
	go func() { done <- c.Execute(nil) }()
	awaitServing(ready)
	f(cancel)
	cancel()
	So(<-done, ShouldBeNil)
	log, err := os.ReadFile(lines.Name())
	So(err, ShouldBeNil)
	return string(log)
}

// TestStoppingReload guards against settings that a stopping gateway, which still serves, does not take over.
func TestStoppingReload(t *testing.T) {
	Convey("A gateway that was told to stop takes over changed settings", t, func() {
		ready := freeAddress()
		file := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(file, []byte(settingsText(ready)), 0o600), ShouldBeNil)
		lines := runLogged(ready, file, func(stop func()) {
			stop()
			time.Sleep(100 * time.Millisecond)
			So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
		})
		So(lines, ShouldContainSubstring, "settings reloaded")
	})
}

// TestStandardLog guards against plain lines beside the log: those of libraries, and those about settings that can't be read.
func TestStandardLog(t *testing.T) {
	Convey("What libraries log, and faulty settings, are lines of the log", t, func() {
		ready := freeAddress()
		file := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(file, []byte(settingsText(ready)), 0o600), ShouldBeNil)
		lines := runLogged(ready, file, func(func()) {
			stdlog.Print("unsolicited response")
			So(os.WriteFile(file, []byte("half a file"), 0o600), ShouldBeNil)
			So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
		})
		for _, event := range []string{"unsolicited response", "settings not reloaded"} {
			So(lines, ShouldContainSubstring, `"event":"`+event+`"`)
		}
	})
}

func TestGatewayReload(t *testing.T) {
	Convey("The gateway keeps running after a hang-up signal and after a change of its settings file", t, func() {
		ready := freeAddress()
		text := settingsText(ready)
		file := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		c := &gatewayCommand{ctx: ctx, Settings: file}
		go func() { done <- c.Execute(nil) }()
		awaitServing(ready)
		for _, content := range []string{text, "half a file"} {
			So(os.WriteFile(file, []byte(content), 0o600), ShouldBeNil)
			So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			awaitServing(ready)
		}
		cancel()
		So(<-done, ShouldBeNil)
	})
}

// TestGatewayAddressTaken guards against a gateway that ends at once, and with a line that is no log line, when an
// address that it listens at is not free: the process before it may be closing.
func TestGatewayAddressTaken(t *testing.T) {
	play := func(freeAfter time.Duration) (code int, lines string) {
		ready := freeAddress()
		file := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(file, []byte(settingsText(ready)), 0o600), ShouldBeNil)
		taken, err := net.Listen("tcp", ready)
		So(err, ShouldBeNil)
		defer taken.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		out, err := os.Create(filepath.Join(t.TempDir(), "log"))
		So(err, ShouldBeNil)
		defer func() { _ = out.Close() }()
		stdout, stderr := os.Stdout, os.Stderr
		os.Stdout, os.Stderr = out, out
		defer func() { os.Stdout, os.Stderr = stdout, stderr }()
		time.AfterFunc(freeAfter, func() {
			_ = taken.Close()
			awaitServing(ready)
			cancel()
		})
		code = run(ctx, []string{"gateway", "--settings", file})
		b, err := os.ReadFile(out.Name())
		So(err, ShouldBeNil)
		for line := range strings.Lines(string(b)) {
			So(json.Valid([]byte(line)), ShouldBeTrue)
			if strings.Contains(line, "address") && strings.Contains(line, "bound") {
				So(line, ShouldContainSubstring, ready)
				lines += line
			}
		}
		return code, lines
	}
	Convey("It waits until the address is free", t, func() {
		code, lines := play(time.Second)
		So(code, ShouldEqual, exitOK)
		So(lines, ShouldContainSubstring, `"address bound"`)
	})
	Convey("It gives up after some seconds with a log line and an exit code of its own", t, func() {
		start := time.Now()
		code, lines := play(time.Hour)
		So(code, ShouldEqual, exitAddress)
		So(strings.Count(lines, "\n"), ShouldEqual, 1)
		So(lines, ShouldContainSubstring, `"address not bound"`)
		So(time.Since(start), ShouldBeBetween, 3*time.Second, 10*time.Second)
	})
}
