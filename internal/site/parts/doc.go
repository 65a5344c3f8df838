// Package parts tracks which parts of prompts are cached in the memory of engines, as
// engines report them and, where no report is available, as this entry infers them
// from the requests that it sent.
package parts
