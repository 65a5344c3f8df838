package caller

import (
	"errors"
	"io"
	"net/http"

	"hornbeamwood/internal/base/verdict"
)

// collect answers a caller that didn't ask for a stream, once the answer is whole.
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
		return notWhole(io.EOF)
	}
	x.writer.Header().Set(verdict.Header, verdict.Ran.String())
	x.json(http.StatusOK, whole.body())
	x.served(http.StatusOK)
	return nil
}
