// Package result holds the numbered result codes of the whole system and the
// error type that carries them to callers and operators.
//
// A code's number never changes once released. Codes 1000-1999 are faults of
// the request, 2000-2999 of an engine or of the choice of one, 3000-3999 of a
// plain service, 4000-4999 of the platform, 5000-5999 of settings and
// configuration, and 9000-9999 of the system itself.
package result

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Code -output=code_string.go

// Code is a numbered result code.
type Code int

// The result codes. docs/RESULT-CODES.md is generated from this list.
const (
	OK Code = 0

	BadRequest           Code = 1000 + iota - 1 // 1000
	BodyTooLarge                                // 1001
	UnknownKey                                  // 1002
	UnknownModel                                // 1003
	DeadlinePassed                              // 1004
	BadCursor                                   // 1005
	CursorMismatch                              // 1006
	ReceivedTextNeeded                          // 1007
	ReceivedTextMismatch                        // 1008
	CallerGone                                  // 1009
	Superseded                                  // 1010
	UnknownPath                                 // 1011
	BadDeadline                                 // 1012
	UnknownRequest                              // 1013
	NotAllowed                                  // 1014
	HeaderTooLarge                              // 1015
)

// Codes about engines and the choice of one.
const (
	NoServer         Code = 2000 + iota // 2000
	EngineRefused                       // 2001
	EngineLost                          // 2002
	AttemptsSpent                       // 2003
	Overloaded                          // 2004
	Draining                            // 2005
	StreamUnknown                       // 2006
	StaleAttempt                        // 2007
	StaleFence                          // 2008
	VersionMissing                      // 2009
	CrossedAnswer                       // 2010
	EngineSilent                        // 2011
	EngineMalformed                     // 2012
	VersionWithdrawn                    // 2013
	TooLate                             // 2014
	PromptBlocked                       // 2015
	RequestBlocked                      // 2016
	CutOff                              // 2017
	WaitTooLong                         // 2018
)

// Codes about plain services.
const (
	UnknownService    Code = 3000 + iota // 3000
	ServiceNotReached                    // 3001
	OutcomeUnknown                       // 3002
	ServiceRefused                       // 3003
	ServiceFailed                        // 3004
	UnknownCall                          // 3005
	BookingUnderWay                      // 3006
	KeyReused                            // 3007
)

// Codes about the platform.
const (
	PlatformDown    Code = 4000 + iota // 4000
	VersionConflict                    // 4001
	ObjectMissing                      // 4002
	ObjectTooLarge                     // 4003
	RateExceeded                       // 4004
	HistoryGone                        // 4005
)

// Codes about settings and configuration.
const (
	SettingsUnreadable Code = 5000 + iota // 5000
	UnknownField                          // 5001
	WrongType                             // 5002
	MissingField                          // 5003
	OutOfRange                            // 5004
	NotIPNumber                           // 5005
	UnknownDomain                         // 5006
	NameClash                             // 5007
	UnknownName                           // 5008
	BadReference                          // 5009
	Duplicate                             // 5010
	NoConfiguration                       // 5011
	NoPreset                              // 5012
	AddressNotBound                       // 5013
)

// Codes about the system itself.
const (
	InvariantBroken Code = 9000 + iota // 9000
	Internal                           // 9001
	Stopping                           // 9002
)

// Error is a failure with its numbered code.
type Error struct {
	Code    Code
	Field   string    // path of the invalid field, for settings and configuration
	Detail  string    // description of this occurrence
	NotRun  bool      // set only if the request provably had no effect on any backend server
	RetryAt time.Time // earliest useful time for a retry; zero if a retry is useless
	Cause   error
}

// New returns an error with code c and a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with code c, a cause and a formatted detail.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	e := New(c, format, args...)
	e.Cause = cause
	return e
}

// AsNotRun sets NotRun and returns e. Use it only if the request provably had no
// effect on any backend server.
func (e *Error) AsNotRun() *Error {
	e.NotRun = true
	return e
}

// WithRetryAt sets RetryAt and returns e.
func (e *Error) WithRetryAt(t time.Time) *Error {
	e.RetryAt = t
	return e
}

// WithField sets Field and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s", int(e.Code), e.Code)
	if e.Field != "" {
		s += " at " + e.Field
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// wireError is the JSON form of Error.
type wireError struct {
	Code    Code       `json:"code"`
	Name    string     `json:"name"`
	Field   string     `json:"field,omitempty"`
	Message string     `json:"message"`
	NotRun  bool       `json:"notRun"`
	RetryAt *time.Time `json:"retryAt,omitempty"`
	Action  string     `json:"action"`
}

// MarshalJSON encodes the error with the name of its code, and with the action
// that [Info] recommends. The cause becomes part of the message.
func (e *Error) MarshalJSON() ([]byte, error) {
	w := wireError{
		Code:    e.Code,
		Name:    e.Code.String(),
		Field:   e.Field,
		Message: e.Detail,
		NotRun:  e.NotRun,
		Action:  e.Code.Info().Action,
	}
	if e.Cause != nil {
		w.Message += ": " + e.Cause.Error()
	}
	if !e.RetryAt.IsZero() {
		w.RetryAt = &e.RetryAt
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (e *Error) UnmarshalJSON(b []byte) error {
	var w wireError
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("decode error: %w", err)
	}
	*e = Error{Code: w.Code, Field: w.Field, Detail: w.Message, NotRun: w.NotRun}
	if w.RetryAt != nil {
		e.RetryAt = *w.RetryAt
	}
	return nil
}

// FromError returns the first *Error in err's chain, or err wrapped in one with
// code Internal if there is none. It returns nil for nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected failure")
}

// CodeOf returns the code of the first *Error in err's chain: OK for nil,
// Internal if there is none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return FromError(err).Code
}

// Envelope is the JSON body of an HTTP response that reports an error.
type Envelope struct {
	Error *Error `json:"error"`
}

// Write responds with err in an [Envelope], with the HTTP status of its code.
func Write(w http.ResponseWriter, err error) {
	e := FromError(err)
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(Envelope{Error: e}); err != nil {
		panic(err) // an Error consists of types that can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(e.Code.Info().Status)
	// If the connection is closed, there is no way to report the error.
	_, _ = w.Write(body.Bytes())
}

// maxErrorBodyBytes is the maximum size of a response's body that Read decodes.
const maxErrorBodyBytes = 64 << 10

// Read decodes the [Envelope] in the body of a response. If there is none, it
// returns an error with code fallback.
func Read(r *http.Response, fallback Code) *Error {
	var env Envelope
	err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxErrorBodyBytes)).Decode(&env)
	if err != nil || env.Error == nil || env.Error.Code == OK {
		return New(fallback, "status %d", r.StatusCode)
	}
	return env.Error
}
