// Package booking ensures that a call that must not be repeated runs at most
// once for each idempotency key chosen by its caller, whichever entry VMs
// receive its requests.
//
// A record stored in the platform decides which request may run the call.
// Records are grouped into buckets, each of which is one object of the
// platform. [BatchWriter] collects the changes of a bucket and writes them
// together by conditional update. [Bucket] implements the rules and does no
// I/O. [Runner] claims records, runs calls and stores their responses.
package booking

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome,State,OpKind -linecomment -output=booking_string.go

// RecordID identifies a booking by its organisation, its service and the
// caller's key.
type RecordID string

// AttemptID identifies one attempt to run a booking.
type AttemptID string

// BucketID is the number of a bucket, from 0 to Buckets-1.
type BucketID int

// Buckets is the number of buckets that records are spread over.
const Buckets = 32

// ObjectKind is the kind of the platform's objects that hold buckets.
const ObjectKind objects.Kind = "bookings"

// NewRecordID returns the id of a booking.
func NewRecordID(org, service names.ID, key string) RecordID {
	h := xxhash.New()
	// A hash never fails to write.
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s", org, service, key)
	return RecordID(fmt.Sprintf("%s/%s/%016x/%s", org, service, h.Sum64(), key))
}

// Bucket returns the bucket that holds the record.
func (r RecordID) Bucket() BucketID { return BucketID(xxhash.Sum64String(string(r)) % Buckets) }

// Name returns the name of the bucket's object.
func (b BucketID) Name() objects.Name { return objects.Name(fmt.Sprintf("bucket-%02d", int(b))) }

// State is the state of a booking.
type State int

// The states. A claimed booking may be running or may have run; a done one has
// run; the call of a released one is proved not to have run.
const (
	StateClaimed  State = iota // claimed
	StateDone                  // done
	StateReleased              // released
)

// Answer is the stored response of a service.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// MaxAnswerBody is the limit on the body of a stored response, in bytes. Only
// the status of a response with a longer body is stored.
const MaxAnswerBody = 2048

// Record is the stored state of one booking.
type Record struct {
	State        State     `json:"state"`
	Attempt      AttemptID `json:"attempt"`
	Digest       string    `json:"digest"` // of the call; detects a key reused for another call
	CallDeadline time.Time `json:"callBy"` // by when the call has ended
	ExpiresAt    time.Time `json:"keep"`   // when the record expires
	Answer       *Answer   `json:"answer,omitempty"`
}

// OpKind is the kind of a change.
type OpKind int

// The kinds of changes.
const (
	OpClaim    OpKind = iota // claim
	OpComplete               // complete
	OpRelease                // release
)

// Op is a change of one record.
type Op struct {
	Kind         OpKind    `json:"kind"`
	ID           RecordID  `json:"id"`
	Attempt      AttemptID `json:"attempt"`
	Digest       string    `json:"digest,omitempty"`
	CallDeadline time.Time `json:"callBy"`
	ExpiresAt    time.Time `json:"keep"`
	Answer       *Answer   `json:"answer,omitempty"`
}

// Check returns an error if a decoded Op is invalid.
func (o *Op) Check() error {
	switch {
	case o.ID == "" || o.Attempt == "":
		return result.New(result.MissingField, "id and attempt are needed")
	case o.Kind < OpClaim || o.Kind > OpRelease:
		return result.New(result.OutOfRange, "kind %d", int(o.Kind)).WithField("kind")
	}
	return nil
}

// Outcome is the result of a change.
type Outcome int

// The outcomes. A claim is Claimed if its attempt, and no other, may run the
// call; InProgress while another attempt may be running it; Finished if it has
// run and its response is stored; Unknown if another attempt may have run it;
// KeyReused if the key was used for another call; BucketFull if the bucket has
// no room for another record; NotOwner if the same attempt has already released
// the record. A completion is Applied, or NotOwner if there is no record of its
// attempt. A release is Applied, or NotOwner if the record belongs to another
// attempt or is done.
const (
	Claimed    Outcome = iota // claimed
	InProgress                // under way
	Finished                  // finished
	Unknown                   // unknown
	KeyReused                 // key reused
	BucketFull                // full
	Applied                   // applied
	NotOwner                  // not mine
)

// Reply is the outcome of a change, with the stored response if there is one.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Answer  *Answer `json:"answer,omitempty"`
}

// Bucket holds the records that are stored in one object of the platform. Its
// zero value is empty.
type Bucket struct {
	Records map[RecordID]Record `json:"records"`
}

// maxClockSkew is how far the clocks of two entry VMs may differ.
const maxClockSkew = 5 * time.Second

// fullSize is the size of an encoded bucket, in bytes, at which it accepts no
// new records. It is below the platform's limit to leave room for the responses
// of the records that the bucket has.
const fullSize = objects.MaxValueSize * 3 / 4

// Apply makes a change at time now in a bucket whose encoding has size bytes.
// Changes are idempotent: a change that was made before has the same outcome
// again, unless the record has changed or expired since.
func (b *Bucket) Apply(now time.Time, o Op, size int) Reply {
	rec, ok := b.Records[o.ID]
	if ok && now.After(rec.ExpiresAt) {
		delete(b.Records, o.ID)
		ok = false
	}
	switch o.Kind {
	case OpComplete:
		return b.complete(o, rec, ok)
	case OpRelease:
		return b.release(o, rec, ok)
	}
	switch {
	case ok && rec.State == StateReleased && rec.Attempt == o.Attempt:
		// The claim arrived after the release of the same attempt.
		return Reply{Outcome: NotOwner}
	case ok && rec.State != StateReleased:
		return claimExisting(now, o, rec)
	}
	if size >= fullSize {
		return Reply{Outcome: BucketFull}
	}
	if b.Records == nil {
		b.Records = make(map[RecordID]Record)
	}
	b.Records[o.ID] = Record{Attempt: o.Attempt, Digest: o.Digest, CallDeadline: o.CallDeadline, ExpiresAt: o.ExpiresAt}
	return Reply{Outcome: Claimed}
}

// claimExisting returns the reply to a claim of a booking that has a record.
func claimExisting(now time.Time, o Op, rec Record) Reply {
	switch {
	case rec.Digest != o.Digest:
		return Reply{Outcome: KeyReused}
	case rec.State == StateDone:
		return Reply{Outcome: Finished, Answer: rec.Answer}
	case rec.Attempt == o.Attempt:
		return Reply{Outcome: Claimed}
	case now.Before(rec.CallDeadline.Add(maxClockSkew)):
		return Reply{Outcome: InProgress}
	}
	return Reply{Outcome: Unknown}
}

// complete stores the response of a call that has run.
func (b *Bucket) complete(o Op, rec Record, ok bool) Reply {
	if !ok || rec.Attempt != o.Attempt {
		return Reply{Outcome: NotOwner}
	}
	rec.State = StateDone
	rec.Answer = o.Answer
	if rec.Answer != nil && len(rec.Answer.Body) > MaxAnswerBody {
		rec.Answer = &Answer{Status: o.Answer.Status}
	}
	b.Records[o.ID] = rec
	return Reply{Outcome: Applied}
}

// release ends a claim whose call is proved not to have run. It leaves a
// released record, which rejects the claim of the same attempt should that
// arrive after the release.
func (b *Bucket) release(o Op, rec Record, ok bool) Reply {
	if ok && (rec.Attempt != o.Attempt || rec.State == StateDone) {
		return Reply{Outcome: NotOwner}
	}
	if b.Records == nil {
		b.Records = make(map[RecordID]Record)
	}
	b.Records[o.ID] = Record{State: StateReleased, Attempt: o.Attempt, ExpiresAt: o.ExpiresAt}
	return Reply{Outcome: Applied}
}

// Prune removes the records that have expired at now.
func (b *Bucket) Prune(now time.Time) {
	for id, rec := range b.Records {
		if now.After(rec.ExpiresAt) {
			delete(b.Records, id)
		}
	}
}

// clone returns a copy of b that can be changed independently.
func (b *Bucket) clone() Bucket {
	c := Bucket{Records: make(map[RecordID]Record, len(b.Records))}
	for id, rec := range b.Records {
		c.Records[id] = rec
	}
	return c
}

// decodeBucket decodes a bucket from the value of its object.
func decodeBucket(raw []byte) (Bucket, error) {
	var b Bucket
	if len(raw) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return b, result.Wrap(result.WrongType, err, "bucket")
	}
	return b, nil
}
