package caller

import (
	"errors"
	"io"
	"net/http"

	"hornbeamwood/internal/base/verdict"
)

// collect reads the stream to its end and answers a caller that didn't request streaming.
func (x *exchange) collect(s Stream, p protocol) error {
	whole := newWholeAnswer(p)
	size := 0
	for {
		data, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		size += len(data)
		if size > maxAnswer {
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer-too-large",
				"the answer is larger than %d bytes; ask for a stream", maxAnswer)
		}
		if err := whole.add(data); err != nil {
			return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "invalid-answer", "the answer is malformed").WithCause(err)
		}
	}
	if len(whole.choices) == 0 {
		return endedEarly(io.EOF)
	}
	x.writer.Header().Set(verdict.Header, verdict.Ran.String())
	x.json(http.StatusOK, whole.body())
	x.served(http.StatusOK)
	return nil
}
