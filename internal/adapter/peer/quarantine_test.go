package peer

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// quarantineMessage returns a message in which every field is set.
func quarantineMessage() message.Quarantine {
	return message.Quarantine{WantAll: true, Records: []quarantine.Record{{
		Key: quarantine.KeyOf("o", "POST", "/x", nil), Organisation: "o",
		Crashes:    []quarantine.Crash{{Target: "a@1"}, {Target: "b", Trial: true}, {Target: "c", Cleared: true, Trial: true}},
		SinceCrash: 1500 * time.Millisecond, SinceSeen: time.Second, SinceShared: 1200 * time.Millisecond,
	}, {
		Key: quarantine.PartOf("s", "p").Key, Part: "p", Organisation: "o", Crashes: []quarantine.Crash{{Target: "a@1"}},
	}}}
}

// streamVersionsMessage returns a message in which every field is set.
func streamVersionsMessage() message.StreamVersions {
	return message.StreamVersions{Message: streamversion.Message{
		Records: []streamversion.Record{{Key: 1, Version: "v1"}, {Key: math.MaxUint64, Version: "v1"}, {Key: 2, Version: ""}, {Key: 6, Version: "v1", Corrections: 2}},
		Asked:   []streamversion.Key{3}, Unknown: []streamversion.Key{4, 5},
		Stored: []streamversion.ServiceVersion{{Service: "s", Version: "v1"}}, StoredAt: 1<<40 | 7,
	}}
}

// trialMessage returns a message in which every field is set.
func trialMessage() message.Trial {
	keys := []quarantine.Key{quarantine.KeyOf("o", "POST", "/x", nil), quarantine.PartOf("s", "p").Key}
	return message.Trial{Step: message.TrialEnded, ID: 7, Keys: keys, For: 4 * time.Second, Broke: true}
}

// exitsMessage returns a message in which every field is set.
func exitsMessage() message.TargetExits {
	return message.TargetExits{Ended: []message.TargetProcess{{Incarnation: "a@5", Version: "v1", Writes: 3, Revision: 1<<40 | 7}, {Incarnation: "b", Version: "v2", Revision: 9}}}
}

func TestOnTheWire(t *testing.T) {
	for name, m := range map[string]message.Message{"quarantine": quarantineMessage(), "versions of streams": streamVersionsMessage(), "trial": trialMessage(), "ends of processes": exitsMessage()} {
		t.Run(name, func(t *testing.T) {
			b, err := proto.Marshal(encode(m))
			if err != nil {
				t.Fatal(err)
			}
			e := new(peerpb.Envelope)
			if err := proto.Unmarshal(b, e); err != nil {
				t.Fatal(err)
			}
			if got := decode(e, member.Member{}); !reflect.DeepEqual(got, m) {
				t.Errorf("decoded %+v, want %+v", got, m)
			}
		})
	}
}

// TestSuspectsFitIntoDatagrams checks that a message with twelve suspects, each with one crash,
// fits into a datagram.
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
		t.Errorf("message has %d bytes, at most %d fit into a datagram", len(b), maxDatagram)
	}
}

func FuzzQuarantine(f *testing.F) {
	valid, err := proto.Marshal(encodeQuarantine(quarantineMessage()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(peerpb.Quarantine)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		s, now := quarantine.New(), time.Unix(1000, 0)
		known := quarantineMessage().Records
		s.Merge(now, known)
		s.Merge(now, decodeQuarantine(m).Records)
		s.Updates(now)
		if s.View() == nil && !s.Known(known[0].Key) {
			t.Error("merging a received message removed a known suspect")
		}
		s.Expire(now.Add(24 * time.Hour))
		if s.Digest() != 0 {
			t.Error("records are left after a day")
		}
	})
}
