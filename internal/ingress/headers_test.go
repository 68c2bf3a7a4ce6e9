package ingress

import "testing"

func TestSizes(t *testing.T) {
	for name, c := range map[string]struct {
		size, hint string
		in, out    int
	}{
		"as callers send it":      {size: "1460,80", in: 1460, out: 80},
		"with a guess":            {size: "1460,80", hint: "30", in: 1460, out: 30},
		"with a guess too large":  {size: "1460,80", hint: "300", in: 1460, out: 80},
		"with blanks":             {size: " 5 , 6 ", in: 5, out: 6},
		"nothing":                 {},
		"no numbers":              {size: "a,b", hint: "c"},
		"below zero":              {size: "-5,-6", hint: "-1"},
		"beyond all":              {size: "9223372036854775807,9223372036854775807", in: tokensMost, out: tokensMost},
		"beyond what can be read": {size: "99999999999999999999,1", out: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if in, out := sizes(c.size, c.hint); in != c.in || out != c.out {
				t.Errorf("%d, %d, want %d, %d", in, out, c.in, c.out)
			}
		})
	}
}
