package responsetest

import "fmt"

// Names are names of fields that are no tokens, each with the colon and the value of its line.
var Names = []string{
	"X Odd: 1", "X-Odd : 1", "Content-Length : 1", "Transfer-Encoding : chunked",
	"X\tOdd: 1", "X-Odd\t: 1", "X\x00Odd: 1", "X\x01Odd: 1", "X\x1bOdd: 1", "X\x7fOdd: 1", "X\x0bOdd: 1", "X\rOdd: 1",
	"X(Odd): 1", "X\xe9Odd: 1", ": 1", "X-Odd",
}

// Malformed is a response in whose head, or trailer, the name of a field is no token.
type Malformed struct {
	// Name tells where its malformed line is.
	Name string
	// Text is the response as it is sent.
	Text string
	// Trailer is set if the line is in the trailer.
	Trailer bool
}

// MalformedNames returns the response that has the status line, the fields and the body, with each of Names as well as with the
// given lines in each place. The fields end with line breaks and state no length.
func MalformedNames(status, fields, body string, lines ...string) []Malformed {
	begin := status + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	var all []Malformed
	for _, line := range append(lines, Names...) {
		add := func(place, text string) {
			all = append(all, Malformed{Name: fmt.Sprintf("%s %q", place, line), Text: text, Trailer: place == "trailer"})
		}
		add("first line", begin+line+"\r\n"+fields+length+"\r\n"+body)
		add("last line", begin+fields+length+line+"\r\n\r\n"+body)
		add("chunks", begin+fields+line+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks+"\r\n")
		add("informational", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+begin+fields+length+"\r\n"+body)
		add("trailer", begin+fields+"Transfer-Encoding: chunked\r\n\r\n"+chunks+line+"\r\n\r\n")
	}
	return append(all, Malformed{Name: "coding only", Text: begin + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n"})
}
