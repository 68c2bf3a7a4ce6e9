package peer

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/golang/snappy"
	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

// targetCopy returns a copy with n targets as a platform lists them.
func targetCopy(n int) message.Copy {
	c := message.Copy{ConfigRevision: 3, Config: []byte("{}"), Targets: message.StoredObjects{Revision: int64(n)}}
	for i := range n {
		c.Targets.List = append(c.Targets.List, message.StoredObject{
			Name: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Revision: int64(i + 1),
			Value: []byte(fmt.Sprintf(`{"service":"llm-%d","address":"10.128.%d.%d:8080","zone":"z-%d","version":"v1","slots":64,`+
				`"state":"ready","coldLeftMs":0,"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d}`, i%2, i/250, i%250, i%5, i%40)),
		})
	}
	return c
}

func TestPackedCopies(t *testing.T) {
	for name, n := range map[string]int{"none": 0, "one": 1, "some": 30, "many": 3000} {
		t.Run(name, func(t *testing.T) {
			sent := targetCopy(n)
			sent.Packed = true
			b, err := proto.Marshal(encode(sent))
			if err != nil {
				t.Fatal(err)
			}
			e := new(peerpb.Envelope)
			if err := proto.Unmarshal(b, e); err != nil {
				t.Fatal(err)
			}
			if got := decode(e, member.Member{}); !reflect.DeepEqual(got, targetCopy(n)) {
				t.Error("what was unpacked differs from what was packed")
			}
		})
	}
}

// TestGapsArrive checks that routers learn of one another's gaps, of all kinds, and of how to treat them.
func TestGapsArrive(t *testing.T) {
	objects := message.StoredObjects{Revision: 9, Since: 3, Gaps: []message.Gap{{After: 4, Before: 6}, {After: 6, Before: 9}}}
	for _, m := range []message.Message{
		message.Copy{Targets: objects, Zones: objects, Rollouts: objects}, message.NeedCopy{Packed: true}, message.NeedCopy{DropsUnlisted: true},
	} {
		b, err := proto.Marshal(encode(m))
		if err != nil {
			t.Fatal(err)
		}
		e := new(peerpb.Envelope)
		if err := proto.Unmarshal(b, e); err != nil {
			t.Fatal(err)
		}
		if got := decode(e, member.Member{}); !reflect.DeepEqual(got, m) {
			t.Errorf("%+v has become %+v", m, got)
		}
	}
}

// TestListOfWholeFleetFitsIntoMessage checks that the list of 20,000 targets, twice the largest
// known fleet, fits into one message with room for twice as many.
func TestListOfWholeFleetFitsIntoMessage(t *testing.T) {
	sent := targetCopy(20_000)
	sent.Packed = true
	if n := proto.Size(encode(sent)); n > maxMessageSize/2 {
		t.Errorf("message has %d bytes, at most %d pass", n, maxMessageSize)
	}
}

// TestOversizedPackedCopy checks that a small message that unpacks to a huge one is refused.
func TestOversizedPackedCopy(t *testing.T) {
	packed := snappy.Encode(nil, make([]byte, maxUnpackedBytes+1))
	if m := decodePacked(packed); m != nil {
		t.Errorf("%d bytes accepted that unpack to more than %d", len(packed), maxUnpackedBytes)
	}
}

func FuzzPackedCopies(f *testing.F) {
	data, err := proto.Marshal(encodeCopy(targetCopy(3)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snappy.Encode(nil, data))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0})
	f.Fuzz(func(_ *testing.T, packed []byte) { decodePacked(packed) })
}
