package classify

import "testing"

func TestSizes(t *testing.T) {
	for name, c := range map[string]struct {
		size, hint string
		in, out    int
	}{
		"prompt size":             {size: "1460,80", in: 1460, out: 80},
		"expected output":         {size: "1460,80", hint: "30", in: 1460, out: 30},
		"expected output too big": {size: "1460,80", hint: "300", in: 1460, out: 80},
		"blanks":                  {size: " 5 , 6 ", in: 5, out: 6},
		"nothing":                 {},
		"no numbers":              {size: "a,b", hint: "c"},
		"negative numbers":        {size: "-5,-6", hint: "-1"},
		"above the maximum":       {size: "9223372036854775807,9223372036854775807", in: maxTokens, out: maxTokens},
		"overflowing integer":     {size: "99999999999999999999,1", out: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if in, out := parseSizes(c.size, c.hint); in != c.in || out != c.out {
				t.Errorf("%d, %d, want %d, %d", in, out, c.in, c.out)
			}
		})
	}
}
