// Package booking sees to it that a call which may not be repeated runs at most
// once for each key that its caller chose, whichever entry VMs it goes through.
//
// A record in the platform decides who may run the call. Records lie in
// buckets; [BatchWriter] writes many changes of a bucket at once, by conditional
// update. [Bucket] holds the rules and does no I/O.
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

// RecordID identifies a booking: organisation, service and the caller's key.
type RecordID string

// AttemptID identifies one attempt to run a booking.
type AttemptID string

// BucketID numbers a bucket.
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

// State is how far a booking has come.
type State int

// The states. The call of a released record is proved not to have run.
const (
	StateClaimed  State = iota // claimed
	StateDone                  // done
	StateReleased              // released
)

// Answer is a service's stored answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// MaxAnswerBody bounds a stored answer's body, in bytes. Of a longer one only the
// status is kept.
const MaxAnswerBody = 2048

// Record is one booking.
type Record struct {
	State   State     `json:"state"`
	Attempt AttemptID `json:"attempt"`
	Digest  string    `json:"digest"` // of the call, to tell a reused key
	CallBy  time.Time `json:"callBy"` // when the call has ended at the latest
	ExpiresAt    time.Time `json:"keep"`   // until when the record is kept
	Answer  *Answer   `json:"answer,omitempty"`
}

// OpKind is a kind of change.
type OpKind int

// The kinds of changes.
const (
	OpClaim    OpKind = iota // claim
	OpComplete               // complete
	OpRelease                // release
)

// Op is a change of one record.
type Op struct {
	Kind    OpKind    `json:"kind"`
	ID      RecordID  `json:"id"`
	Attempt AttemptID `json:"attempt"`
	Digest  string    `json:"digest,omitempty"`
	CallBy  time.Time `json:"callBy"`
	ExpiresAt    time.Time `json:"keep"`
	Answer  *Answer   `json:"answer,omitempty"`
}

// Check returns the first fault of a decoded Op.
func (o *Op) Check() error {
	switch {
	case o.ID == "" || o.Attempt == "":
		return result.New(result.MissingField, "id and attempt are needed")
	case o.Kind < OpClaim || o.Kind > OpRelease:
		return result.New(result.OutOfRange, "kind %d", int(o.Kind)).On("kind")
	}
	return nil
}

// Outcome is what became of a change.
type Outcome int

// The outcomes. A claim is Claimed if the attempt, and no other, may run the
// call; InProgress while another attempt runs it; Finished if it has run and its
// answer is stored; Unknown if another attempt may have run it; KeyReused if the
// key stands for another call; BucketFull if the bucket has no room. Other changes are
// Applied, or NotOwner if the record belongs to another attempt.
const (
	Claimed   Outcome = iota // claimed
	InProgress                 // under way
	Finished                 // finished
	Unknown                  // unknown
	KeyReused                // key reused
	BucketFull                     // full
	Applied                  // applied
	NotOwner                  // not mine
)

// Reply is the outcome of a change, with the stored answer if there is one.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Answer  *Answer `json:"answer,omitempty"`
}

// Bucket is the aggregate of the records that lie in one object. Its zero value
// is empty.
type Bucket struct {
	Records map[RecordID]Record `json:"records"`
}

// skewMargin is how far apart the clocks of two entry VMs may be.
const skewMargin = 5 * time.Second

// fullAt is the size of a bucket from which on it takes no new records, in
// bytes. Below the platform's limit there must be room for answers.
const fullAt = objects.MaxValueSize * 3 / 4

// Apply makes a change at instant now. A change that is applied twice has the
// outcome of the first time.
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
		// The claim arrives after its own release.
		return Reply{Outcome: NotOwner}
	case ok && rec.State != StateReleased:
		return claimExisting(now, o, rec)
	}
	if size >= fullAt {
		return Reply{Outcome: BucketFull}
	}
	if b.Records == nil {
		b.Records = make(map[RecordID]Record)
	}
	b.Records[o.ID] = Record{Attempt: o.Attempt, Digest: o.Digest, CallBy: o.CallBy, ExpiresAt: o.ExpiresAt}
	return Reply{Outcome: Claimed}
}

// claimExisting answers a claim for which there is a record.
func claimExisting(now time.Time, o Op, rec Record) Reply {
	switch {
	case rec.Digest != o.Digest:
		return Reply{Outcome: KeyReused}
	case rec.State == StateDone:
		return Reply{Outcome: Finished, Answer: rec.Answer}
	case rec.Attempt == o.Attempt:
		return Reply{Outcome: Claimed}
	case now.Before(rec.CallBy.Add(skewMargin)):
		return Reply{Outcome: InProgress}
	}
	return Reply{Outcome: Unknown}
}

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

// release takes a claim back whose call is proved not to have run. What is left
// keeps the same claim from being made after all, should it arrive later.
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

// Prune removes the records that need not be kept at now.
func (b *Bucket) Prune(now time.Time) {
	for id, rec := range b.Records {
		if now.After(rec.ExpiresAt) {
			delete(b.Records, id)
		}
	}
}

// clone returns a copy whose records can be changed.
func (b *Bucket) clone() Bucket {
	c := Bucket{Records: make(map[RecordID]Record, len(b.Records))}
	for id, rec := range b.Records {
		c.Records[id] = rec
	}
	return c
}

// decodeBucket reads a bucket from its object.
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
