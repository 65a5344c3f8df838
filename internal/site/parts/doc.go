// Package parts tracks which parts of prompts are cached in the memory of engines: as the
// engines report them, and where no report is available, as inferred from the requests
// that were sent to them.
package parts
