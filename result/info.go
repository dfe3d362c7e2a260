package result

import (
	"bytes"
	"fmt"
	"net/http"
)

// Info describes a code to callers and operators.
type Info struct {
	Code    Code
	Status  int    // HTTP status of responses with the code
	Meaning string // what happened
	Action  string // what the caller or operator should do
}

const (
	tellOperator = "tell the operator, with the request id"
	retryLater   = "ask again at retryAt"
	fixRequest   = "correct the request"
	fixFile      = "correct the file at the named field"
)

// table has one entry for each code, in ascending order.
var table = []Info{
	{OK, http.StatusOK, "The request succeeded.", ""},
	{BadRequest, http.StatusBadRequest, "The request cannot be understood.", fixRequest},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, "The request's body is over the limit.", "send a shorter request"},
	{UnknownKey, http.StatusUnauthorized, "The API key belongs to no organisation.", "check the key"},
	{UnknownModel, http.StatusNotFound, "No route of this organisation serves the model.", "use a model from GET /v1/models"},
	{DeadlinePassed, http.StatusGatewayTimeout, "The request's deadline passed first.", "ask again with a later deadline"},
	{BadCursor, http.StatusBadRequest, "The cursor was not issued here or was altered.", "send the last event's id unchanged"},
	{CursorMismatch, http.StatusBadRequest, "The cursor belongs to another request or organisation.", "send the request that the cursor came from"},
	{ReceivedTextNeeded, http.StatusConflict, "The engine that held the answer is lost too.", "repeat the call with the text received so far in \"received\""},
	{ReceivedTextMismatch, http.StatusBadRequest, "The received text is not what the cursor stands for.", "send exactly the text of all events up to the cursor"},
	{CallerGone, 499, "The caller closed its connection.", "reconnect with Last-Event-ID"},
	{Superseded, http.StatusConflict, "A later connection took over this answer.", "read from the later connection"},
	{UnknownPath, http.StatusNotFound, "There is no such path or method.", "see docs/PROTOCOLS.md"},
	{BadDeadline, http.StatusBadRequest, "The deadline header is no instant in the future.", "send an RFC 3339 instant"},
	{UnknownRequest, http.StatusNotFound, "This entry VM holds no record of the request.", "ask the other entry VMs"},
	{NotAllowed, http.StatusForbidden, "The operator key is missing or wrong.", "check the operator key"},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "The request's headers are over the limit.", "send shorter headers"},

	{NoServer, http.StatusServiceUnavailable, "No backend server of the version could take the work in time.", retryLater},
	{EngineRefused, http.StatusBadGateway, "The engine refused the work.", retryLater},
	{EngineLost, http.StatusBadGateway, "The engine or its connection was lost.", retryLater},
	{AttemptsSpent, http.StatusBadGateway, "Every permitted attempt failed.", retryLater},
	{Overloaded, http.StatusServiceUnavailable, "The server has no room.", retryLater},
	{Draining, http.StatusServiceUnavailable, "The server takes no new work.", "ask another server"},
	{StreamUnknown, http.StatusNotFound, "The engine does not hold the stream.", "start a new attempt"},
	{StaleAttempt, http.StatusConflict, "A later attempt holds the stream.", "give the stream up"},
	{StaleFence, http.StatusConflict, "The order's fencing number is old.", "read the record and order again"},
	{VersionMissing, http.StatusNotFound, "The engine has not loaded the version or adapter.", "ask another server"},
	{CrossedAnswer, http.StatusBadGateway, "The server answered another request.", retryLater},
	{EngineSilent, http.StatusBadGateway, "Nothing was heard from the engine in time.", retryLater},
	{EngineMalformed, http.StatusBadGateway, "The engine's answer cannot be understood.", tellOperator},
	{VersionWithdrawn, http.StatusConflict, "The version that began the answer is gone.", "ask again from the start"},
	{TooLate, http.StatusServiceUnavailable, "Less time is left than the answer needs.", "ask again with a later deadline"},
	{PromptBlocked, http.StatusServiceUnavailable, "A part of the prompt crashes engines.", "leave out the part named in the message"},
	{RequestBlocked, http.StatusServiceUnavailable, "The request crashes the servers that run it.", "change the request"},
	{CutOff, http.StatusServiceUnavailable, "The entry VM reaches no servers.", retryLater},
	{WaitTooLong, http.StatusServiceUnavailable, "Streams ahead of this one leave it too little time.", retryLater},

	{UnknownService, http.StatusNotFound, "There is no such plain service.", "check the service's name"},
	{ServiceNotReached, http.StatusBadGateway, "No server of the service was reached; the call did not run.", retryLater},
	{OutcomeUnknown, http.StatusBadGateway, "The call may or may not have run.", "find out from the service; do not repeat the call blindly"},
	{ServiceRefused, http.StatusServiceUnavailable, "The service refused the call before running it.", retryLater},
	{ServiceFailed, http.StatusBadGateway, "Every server of the service failed.", retryLater},
	{UnknownCall, http.StatusNotFound, "The service has no such call.", "check method and path"},
	{BookingUnderWay, http.StatusConflict, "Another request with the same key runs the call now.", retryLater},
	{KeyReused, http.StatusConflict, "The key was used for another call.", "use a new key"},

	{PlatformDown, http.StatusServiceUnavailable, "The platform did not answer.", retryLater},
	{VersionConflict, http.StatusConflict, "The object changed since it was read.", "read it again and decide anew"},
	{ObjectMissing, http.StatusNotFound, "There is no such object.", "check the name"},
	{ObjectTooLarge, http.StatusRequestEntityTooLarge, "The object is over the platform's limit.", "make the object smaller"},
	{RateExceeded, http.StatusTooManyRequests, "The platform's call rate is used up.", retryLater},
	{HistoryGone, http.StatusGone, "The platform no longer has the changes asked for.", "list what stands"},

	{SettingsUnreadable, http.StatusBadRequest, "The file is no JSON.", "correct the file's syntax"},
	{UnknownField, http.StatusBadRequest, "The field does not exist.", fixFile},
	{WrongType, http.StatusBadRequest, "The field has the wrong type or unit.", fixFile},
	{MissingField, http.StatusBadRequest, "The field is missing or empty.", fixFile},
	{OutOfRange, http.StatusBadRequest, "The value is outside its range.", fixFile},
	{NotIPNumber, http.StatusBadRequest, "The address is no IP number with a port.", "write the IP number"},
	{UnknownDomain, http.StatusBadRequest, "The failure domain is not among the places.", fixFile},
	{NameClash, http.StatusBadRequest, "One name stands for two things.", "rename one of them"},
	{UnknownName, http.StatusNotFound, "The name is in none of the schemes.", "check the name"},
	{BadReference, http.StatusBadRequest, "The object names another that does not exist.", "create the other first"},
	{Duplicate, http.StatusBadRequest, "Two entries have the same name.", "remove one"},
	{NoConfiguration, http.StatusServiceUnavailable, "This entry VM has no configuration yet.", retryLater},
	{NoPreset, http.StatusServiceUnavailable, "No preset is in force.", "run use-preset"},
	{AddressNotBound, http.StatusInternalServerError, "The process can't listen at an address.", "end the process that listens there, or change the settings"},

	{InvariantBroken, http.StatusInternalServerError, "An internal check failed; the answer was ended rather than sent wrong.", tellOperator},
	{Internal, http.StatusInternalServerError, "An unexpected failure.", tellOperator},
	{Stopping, http.StatusServiceUnavailable, "This entry VM is shutting down.", "ask another entry VM"},
}

// Table returns the descriptions of all codes in ascending order.
func Table() []Info { return append([]Info(nil), table...) }

// Info returns the code's description. An unlisted code is described as
// Internal.
func (c Code) Info() Info {
	for i := range table {
		if table[i].Code == c {
			return table[i]
		}
	}
	return Info{
		Code:    c,
		Status:  http.StatusInternalServerError,
		Meaning: "An unlisted code.",
		Action:  tellOperator,
	}
}

// Markdown returns the table of codes as docs/RESULT-CODES.md.
func Markdown() []byte {
	var b bytes.Buffer
	b.WriteString("# Result codes\n\n")
	b.WriteString("Generated from package `result`; `go test ./result -update` writes it anew.\n\n")
	b.WriteString("| code | name | HTTP | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, i := range table {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", int(i.Code), i.Code, i.Status, i.Meaning, i.Action)
	}
	return b.Bytes()
}
