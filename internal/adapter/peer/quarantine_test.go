package peer

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// suspects is a message with all that one may hold.
func suspects() message.Quarantine {
	return message.Quarantine{WantAll: true, Records: []quarantine.Record{{
		Key: quarantine.KeyOf("o", "POST", "/x", nil), Organisation: "o",
		Crashes:    []quarantine.Crash{{Target: "a@1"}, {Target: "b", Trial: true}, {Target: "c", Cleared: true, Trial: true}},
		SinceCrash: 1500 * time.Millisecond, SinceSeen: time.Second,
	}}}
}

func TestQuarantineOnTheWire(t *testing.T) {
	b, err := proto.Marshal(encode(suspects()))
	if err != nil {
		t.Fatal(err)
	}
	e := new(peerpb.Envelope)
	if err := proto.Unmarshal(b, e); err != nil {
		t.Fatal(err)
	}
	if got := decode(e, member.Member{}); !reflect.DeepEqual(got, suspects()) {
		t.Errorf("%+v, want %+v", got, suspects())
	}
}

// TestSuspectsFitIntoDatagrams has the usual messages of a dozen fit: each after one end.
func TestSuspectsFitIntoDatagrams(t *testing.T) {
	m := message.Quarantine{}
	for i := range 12 {
		m.Records = append(m.Records, quarantine.Record{
			Key: quarantine.KeyOf("o", "POST", "/x", []byte{byte(i)}), Organisation: "an-organisation-of-some-name",
			Crashes: []quarantine.Crash{{Target: "i-0123456789abcdef0@1767225600000"}}, SinceCrash: time.Hour, SinceSeen: time.Hour,
		})
	}
	b, err := proto.Marshal(encode(m))
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagram {
		t.Errorf("%d bytes, %d fit", len(b), maxDatagram)
	}
}

func FuzzQuarantine(f *testing.F) {
	good, err := proto.Marshal(encodeQuarantine(suspects()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(peerpb.Quarantine)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		s, now := quarantine.New(), time.Unix(1000, 0)
		known := suspects().Records
		s.Merge(now, known)
		s.Merge(now, decodeQuarantine(m).Records)
		s.Updates(now)
		if s.View() == nil && !s.Known(known[0].Key) {
			t.Error("a message took away what was known")
		}
		s.Expire(now.Add(24 * time.Hour))
		if s.Digest() != 0 {
			t.Error("something is left after a day")
		}
	})
}
